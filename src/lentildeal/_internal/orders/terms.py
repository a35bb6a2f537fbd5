"""Fencing terms: who may issue orders to a replica.

The token of a replica follows from the log offset of the ``term`` record that
this daemon appended when it gained the replica. A later owner's record has a
higher offset, so a target that checks tokens refuses orders of the earlier
one.
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
# Replicas gained within this time share one record: an owner gains several
# at each change of membership, and the log takes a few hundred appends a
# second from all daemons.
BATCH_S = 0.2

_appends_total = prometheus_client.Counter(
    'lentildeal_terms_total', 'Appends of term records.', ['result']
)


def make_token(offset: ids.Offset) -> ids.FencingToken:
    """Makes the token of a term record.

    Offsets start at 0, which is also what a target reports before its first
    order. The token of the first record has to be higher than that.
    """
    return ids.FencingToken(offset + 1)


class TermKeeper:
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
        """Takes the replicas owned now; a lost one loses its token."""
        self._owned = set(owned)
        for address in self._tokens.keys() - self._owned:
            del self._tokens[address]
        self._append_soon()

    def renew(self, address: ids.ReplicaAddress) -> None:
        """Asks for a new token after a target refused the present one."""
        self._tokens.pop(address, None)
        self._append_soon()

    def token_for(
        self,
        address: ids.ReplicaAddress,
        reported: ids.FencingToken,
    ) -> ids.FencingToken:
        """Token of an order.

        Args:
            address: Replica that the order goes to.
            reported: Highest token that the replica says it has seen.

        Returns:
            The own token, or the reported one while the log gives none.
            With the reported token owners can act without the log; it
            fences only owners before the one that reported it, and orders
            are monotone and read back for that reason.
        """
        return self._tokens.get(address, reported)

    def is_ready(self, address: ids.ReplicaAddress) -> bool:
        """Whether the replica has a token, or has to do without the log."""
        return address in self._tokens or self._is_log_down

    def _append_soon(self) -> None:
        if self._is_appending or not self._owned - self._tokens.keys():
            return
        self._is_appending = True
        eventlet.spawn_n(self._append_terms)

    def _append_terms(self) -> None:
        """Appends until every owned replica has a token."""
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
            # An append whose answer was lost may have taken effect. Nobody
            # orders with its offset, so a second record does no harm.
            _appends_total.labels('failed').inc()
            self._is_log_down = True
            logger.debug('term not appended: {}', error)
            return False
        _appends_total.labels('done').inc()
        self._is_log_down = False
        for address in gained & self._owned:
            self._tokens[address] = make_token(offset)
        return True
