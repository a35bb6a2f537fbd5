"""Fencing terms, which decide who may send orders to a replica.

The fencing token of a replica is derived from the log offset of the ``term``
record that this daemon appended when it became the owner. The record of a
later owner has a higher offset, so a target that checks tokens refuses orders
of the earlier owner.
"""

from __future__ import annotations

import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff

STREAM = 'terms'
# Replicas gained within this time share one record. An owner gains several
# replicas at each membership change, and the log accepts a few hundred
# appends per second from all daemons.
BATCH_S = 0.2

_appends_total = prometheus_client.Counter(
    'lentildeal_terms_total', 'Appends of term records.', ['result']
)


def make_token(offset: ids.Offset) -> ids.FencingToken:
    """Derives the fencing token from the offset of a term record.

    Offsets start at 0, and a target reports token 0 before its first order.
    The token of the first record has to be higher.
    """
    return ids.FencingToken(offset + 1)


class TermManager:
    """Fencing tokens of the replicas that this daemon owns."""

    def __init__(
        self,
        log: base.LogService,
        instance: ids.InstanceId,
        incarnation: ids.Incarnation,
    ) -> None:
        self._log = log
        self._instance = instance
        self._incarnation = incarnation
        self._tokens: dict[ids.ReplicaAddress, ids.FencingToken] = {}
        self._owned: set[ids.ReplicaAddress] = set()
        self._is_appending = False
        self._is_log_down = False

    def set_owned(self, owned: typing.Iterable[ids.ReplicaAddress]) -> None:
        """Sets the owned replicas and drops the tokens of all others."""
        self._owned = set(owned)
        for address in self._tokens.keys() - self._owned:
            del self._tokens[address]
        self._append_soon()

    def renew(self, address: ids.ReplicaAddress) -> None:
        """Requests a new token after a target refused the current one."""
        self._tokens.pop(address, None)
        self._append_soon()

    def token_for(
        self,
        address: ids.ReplicaAddress,
        reported: ids.FencingToken,
    ) -> ids.FencingToken:
        """Fencing token for an order.

        Args:
            address: Replica that the order goes to.
            reported: Highest token that the replica reports.

        Returns:
            This daemon's token, or the reported one while the log is
            unavailable. With the reported token, owners can send orders
            without the log. It fences off only owners with lower tokens, so
            orders never lower a version and their effect is read back.
        """
        return self._tokens.get(address, reported)

    def is_ready(self, address: ids.ReplicaAddress) -> bool:
        """Whether the replica has a token or the log is unavailable."""
        return address in self._tokens or self._is_log_down

    def _append_soon(self) -> None:
        if self._is_appending or not self._owned - self._tokens.keys():
            return
        self._is_appending = True
        eventlet.spawn_n(self._append_terms)

    def _append_terms(self) -> None:
        """Appends term records until every owned replica has a token."""
        delays = backoff.Backoff(BATCH_S, 5.0)
        try:
            eventlet.sleep(BATCH_S)
            while gained := self._owned - self._tokens.keys():
                if self._append(gained):
                    delays.reset()
                eventlet.sleep(delays.next_delay_s())
        finally:
            self._is_appending = False

    def _append(self, gained: set[ids.ReplicaAddress]) -> bool:
        body = {
            'record': 'term',
            'instance': self._instance,
            'incarnation': self._incarnation,
            'replicas': sorted(gained),
        }
        try:
            offset = self._log.append(STREAM, body)
        except exceptions.PlatformError as error:
            # An append whose response was lost may have taken effect. No
            # order uses its offset, so a second record is harmless.
            _appends_total.labels('failed').inc()
            self._is_log_down = True
            logger.debug('failed to append a term record: {}', error)
            return False
        _appends_total.labels('done').inc()
        self._is_log_down = False
        for address in gained & self._owned:
            self._tokens[address] = make_token(offset)
        return True
