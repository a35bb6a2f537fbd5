"""Choice of the daemons that this one sends heartbeats to."""

from __future__ import annotations

import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.membership import rendezvous
from lentildeal._internal.models import ids
from lentildeal._internal.models import members

Addresses = dict[ids.InstanceId, str]


class ReceiverChoice:
    """Chooses all of the own domain and a share of the other domains.

    Choosing among 22 neighbours for 330 others takes 10 ms, so it is
    repeated only when the inputs change.
    """

    def __init__(self, own: members.Member) -> None:
        self._own = own
        self._inputs: typing.Any = None
        self._chosen: Addresses = {}

    def choose(
        self,
        live: list[members.Member],
        known_instances: list[base.ListedInstance],
    ) -> Addresses:
        """Returns the peer addresses of the receivers.

        Args:
            live: Live members of all domains.
            known_instances: All instances whose address is known.
        """
        own = self._own
        neighbours = {
            member.instance
            for member in live
            if member.failure_domain == own.failure_domain
        }
        neighbours.add(own.instance)
        inputs = (neighbours, known_instances)
        if inputs != self._inputs:
            self._inputs = inputs
            self._chosen = {
                item.instance: item.peer_address
                for item in known_instances
                if self._is_receiver(item, neighbours)
            }
        return self._chosen

    def _is_receiver(
        self,
        item: base.ListedInstance,
        neighbours: set[ids.InstanceId],
    ) -> bool:
        if item.failure_domain == self._own.failure_domain:
            return True
        senders = rendezvous.choose_senders(item.instance, neighbours)
        return self._own.instance in senders
