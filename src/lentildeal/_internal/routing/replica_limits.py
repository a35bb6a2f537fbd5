"""Plug-in ``replica_limits``: request rates that replicas accept."""

from __future__ import annotations

import collections
import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids

# Interval of the log lines about requests to limited replicas.
REPORT_INTERVAL_S = 1.0

_limited_replicas = prometheus_client.Gauge(
    'lentildeal_limited_replicas', 'Replicas that name a request limit.'
)
_limited_requests_total = prometheus_client.Counter(
    'lentildeal_limited_requests_total',
    'Requests of this daemon to replicas that name a request limit.',
)


@plugins.register('replica_limits')
class ReplicaLimits(plugins.Plugin):
    """Knows which replicas limit their requests, and counts those."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._rates: dict[ids.ReplicaId, float] = {}
        self._sent: collections.Counter = collections.Counter()

    def start(self) -> None:
        """See the base class."""
        self._kernel.spawn('replica-limits-report', self._report)

    def record_answer(
        self, replica_id: ids.ReplicaId, info: platform_base.ResponseInfo
    ) -> None:
        """Records the limit, or its absence, in an answer of a replica."""
        if not info.is_misdirected:
            self._set_rate(replica_id, info.rate_limit, 'answer')

    def record_sent(self, replica_id: ids.ReplicaId) -> None:
        """Records a request that is sent to a replica now."""
        if replica_id in self._rates:
            self._sent[replica_id] += 1
            _limited_requests_total.inc()

    def _set_rate(
        self,
        replica_id: ids.ReplicaId,
        rate: typing.Optional[float],
        source: str,
    ) -> None:
        previous = self._rates.get(replica_id)
        if rate == previous:
            return
        if rate is None:
            del self._rates[replica_id]
        else:
            self._rates[replica_id] = rate
        _limited_replicas.set(len(self._rates))
        events.emit(
            'replica_limit_changed',
            replica=replica_id,
            limit=rate,
            previous=previous,
            source=source,
        )

    def _report(self) -> None:
        while True:
            eventlet.sleep(REPORT_INTERVAL_S)
            for replica_id, count in self._sent.items():
                events.emit(
                    'limited_requests_sent',
                    replica=replica_id,
                    limit=self._rates.get(replica_id),
                    sent=count,
                )
            self._sent.clear()
