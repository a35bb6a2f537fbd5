"""Choice of the daemons that this one sends heartbeats to."""

from __future__ import annotations

import typing

from lentildeal._internal.adapters import base
from lentildeal._internal.membership import rendezvous
from lentildeal._internal.models import ids
from lentildeal._internal.models import members

Addresses = dict[ids.InstanceId, str]


class ReceiverChoice:
    """All of the own domain, and those of others that fall to this daemon.

    Choosing among 22 neighbours for 330 others takes 10 ms, so it is done
    only when either of them changes.
    """

    def __init__(self, own: members.Member) -> None:
        self._own = own
        self._basis: typing.Any = None
        self._chosen: Addresses = {}

    def choose(
        self,
        live: list[members.Member],
        contacts: list[base.ListedInstance],
    ) -> Addresses:
        """Peer addresses of the receivers.

        Args:
            live: Live members of all domains.
            contacts: All instances whose address is known.
        """
        own = self._own
        neighbours = {
            member.instance
            for member in live
            if member.failure_domain == own.failure_domain
        }
        neighbours.add(own.instance)
        basis = (neighbours, contacts)
        if basis != self._basis:
            self._basis = basis
            self._chosen = {
                contact.instance: contact.peer_address
                for contact in contacts
                if self._is_receiver(contact, neighbours)
            }
        return self._chosen

    def _is_receiver(
        self,
        contact: base.ListedInstance,
        neighbours: set[ids.InstanceId],
    ) -> bool:
        if contact.failure_domain == self._own.failure_domain:
            return True
        senders = rendezvous.choose_senders(contact.instance, neighbours)
        return self._own.instance in senders
