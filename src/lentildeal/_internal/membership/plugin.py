"""Plug-in ``membership``: heartbeats, live members, owners of replicas."""

from __future__ import annotations

import random
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.membership import heartbeats
from lentildeal._internal.membership import instance_list
from lentildeal._internal.membership import receivers
from lentildeal._internal.membership import rendezvous
from lentildeal._internal.membership import table as table_module
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.utils import clock

State = members.MemberState

# Delay that combines the updates caused by one configuration change, which
# alters the rows of all members. Deriving 350 members takes a few
# milliseconds.
REFRESH_DELAY_S = 0.02

_members_gauge = prometheus_client.Gauge(
    'lentildeal_members', 'Members by state.', ['state']
)
_pauses_total = prometheus_client.Counter(
    'lentildeal_pauses_total', 'Pauses of this process that it noticed.'
)


@plugins.register('membership')
class Membership(plugins.Plugin):
    """Tracks live, leaving and cut-off members and owners of replicas."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        settings = kernel.settings
        own = members.Member(
            instance=settings.instance,
            incarnation=kernel.incarnation,
            failure_domain=settings.failure_domain,
            http_address=settings.http_address,
            peer_address=settings.peer_address,
        )
        self._own_domain = settings.failure_domain
        self._interval_s = settings.timing.heartbeat_ms / 1000
        self._phase_s = random.uniform(0.0, self._interval_s)
        self._table = table_module.MemberTable(own, settings.timing)
        self._senders: dict[ids.InstanceId, heartbeats.Sender] = {}
        self._view: typing.Optional[tuple] = None
        self._is_refresh_due = False
        self._silent_members: set[ids.InstanceId] = set()
        self._receivers = receivers.ReceiverChoice(own)
        self._received: dict[ids.InstanceId, tuple[int, int]] = {}
        self._versions: heartbeats.Versions = {}
        self._epoch = 0
        self._contents: dict[bool, heartbeats.Content] = {}
        self._owners: dict[tuple, typing.Optional[ids.InstanceId]] = {}
        self._change_handlers: list[typing.Callable] = []
        self._version_handlers: list[typing.Callable] = []

    @property
    def is_settled(self) -> bool:
        """False at the start and after a pause until neighbours have sent."""
        return self._table.is_settled

    def members(self) -> list[members.Member]:
        """Returns all known members, this one included."""
        return self._table.members()

    def live(self) -> list[members.Member]:
        """Returns live members that are neither leaving nor cut off."""
        return self._table.live()

    def get(self, instance: ids.InstanceId) -> typing.Optional[members.Member]:
        """Returns a member, None if it is not known."""
        return self._table.get(instance)

    def cut_off_domains(self) -> frozenset[ids.FailureDomain]:
        """Returns the domains from which no heartbeats arrive."""
        return self._table.cut_off_domains

    def owner_of(
        self, domain: ids.FailureDomain, address: ids.ReplicaAddress
    ) -> typing.Optional[ids.InstanceId]:
        """Returns the instance that owns the queue of a replica.

        None if the replica's domain is cut off, or if this daemon would be
        the owner and its own view is not fresh.
        """
        key = (domain, address)
        if key not in self._owners:
            candidates = self._table.owner_candidates(domain)
            self._owners[key] = rendezvous.choose_owner(address, candidates)
        owner = self._owners[key]
        if owner == self._table.own.instance and not self.is_settled:
            return None
        return owner

    def is_owner(
        self, domain: ids.FailureDomain, address: ids.ReplicaAddress
    ) -> bool:
        """Whether this daemon owns the queue of a replica."""
        return self.owner_of(domain, address) == self._table.own.instance

    def on_change(self, function: typing.Callable[[], None]) -> None:
        """Registers ``function()``, called after each change of the view."""
        self._change_handlers.append(function)

    def set_attachments(
        self, attachments: tuple[members.Attachment, ...]
    ) -> None:
        """Announces to all members which trainers are attached here."""
        self._set_own(attachments=tuple(attachments))

    def attachments(
        self,
    ) -> dict[ids.TrainerName, tuple[ids.InstanceId, members.Attachment]]:
        """Returns where each trainer is attached, by its highest number."""
        result: dict = {}
        for member in self._table.members():
            if member.state is State.DEAD:
                continue
            for attachment in member.attachments:
                known = result.get(attachment.trainer)
                if known is None or known[1].number < attachment.number:
                    result[attachment.trainer] = (member.instance, attachment)
        return result

    def announce_version(
        self, model: ids.ModelName, version: ids.Version
    ) -> None:
        """Announces a model's new version to all members."""
        self._apply_versions({model: version})

    def versions(self) -> heartbeats.Versions:
        """Returns the highest known version of each model."""
        return dict(self._versions)

    def on_version(
        self, function: typing.Callable[[ids.ModelName, ids.Version], None]
    ) -> None:
        """Registers ``function(model, version)`` for higher versions."""
        self._version_handlers.append(function)

    def start(self) -> None:
        """See the base class."""
        network = self._kernel.peers
        network.handle(heartbeats.Beat, self._on_beat)
        network.handle(heartbeats.Update, self._on_update)
        network.handle(heartbeats.Resend, self._on_resend)
        network.on_disconnect(self._on_disconnect)
        self._kernel.on_drain_start(self._announce_leaving)
        config = self._kernel.find_plugin('config')
        if config is not None:
            config.on_change(self._update_revision)
        self._kernel.spawn('membership', self._run_ticks)
        self._kernel.spawn(
            'instances',
            instance_list.poll,
            self._kernel.settings,
            self._handle_instance_list,
        )

    def stop(self) -> None:
        """See the base class."""
        for sender in self._senders.values():
            sender.stop()

    def _announce_leaving(self) -> None:
        self._set_own(state=State.LEAVING)
        # Lets the senders run before anything else is stopped.
        eventlet.sleep(0)

    def _update_revision(self) -> None:
        config = self._kernel.find_plugin('config')
        if config is not None:
            self._set_own(revision=config.revision)

    def _set_own(self, **changes: typing.Any) -> None:
        if not self._table.set_own(**changes):
            return
        self._send_changes()
        self._notify_if_changed()

    def _run_ticks(self) -> None:
        while True:
            self._update_revision()
            started_s = clock.monotonic_s()
            pauses = self._table.pauses
            if self._table.tick():
                self._apply_change()
            if self._table.pauses > pauses:
                _pauses_total.inc()
                logger.warning(
                    'this process was paused; it owns no replicas for now'
                )
            spent_s = clock.monotonic_s() - started_s
            eventlet.sleep(max(0.0, self._interval_s - spent_s))

    def _apply_change(self) -> None:
        """Applies a new view after the table has changed."""
        self._disconnect_silent()
        self._update_senders()
        self._send_changes()
        self._notify_if_changed()

    def _disconnect_silent(self) -> None:
        """Closes connections to members that have just become silent.

        TCP retransmits with growing delays, up to every two minutes; a new
        connection succeeds within seconds after a partition heals.
        """
        cut_off = self._table.cut_off_domains
        silent = {
            member.instance
            for member in self._table.members()
            if member.state is State.DEAD or member.failure_domain in cut_off
        }
        for instance in silent - self._silent_members:
            self._kernel.peers.disconnect(instance)
        self._silent_members = silent

    def _notify_if_changed(self) -> None:
        """Runs the handlers unless only revisions have changed.

        Each change of the text changes the revision of every member, which
        is irrelevant to the handlers of owner and attachment changes.
        """
        view = (
            self._table.cut_off_domains,
            self._table.is_settled,
            {
                m.instance: (m.incarnation, m.state, m.attachments)
                for m in self._table.members()
            },
        )
        if view == self._view:
            return
        self._view = view
        self._owners.clear()
        for state in State:
            count = sum(m.state is state for m in self._table.members())
            _members_gauge.labels(state.value).set(count)
        for function in self._change_handlers:
            function()

    def _send_changes(self) -> None:
        """Makes the senders send what has changed."""
        self._epoch += 1
        self._contents.clear()
        for sender in list(self._senders.values()):
            sender.send_now()

    def _get_content(self, receiver: ids.InstanceId) -> heartbeats.Content:
        member = self._table.get(receiver)
        is_neighbour = (
            member is not None and member.failure_domain == self._own_domain
        )
        if is_neighbour not in self._contents:
            self._contents[is_neighbour] = self._make_content(is_neighbour)
        return self._contents[is_neighbour]

    def _make_content(self, is_neighbour: bool) -> heartbeats.Content:
        """Makes the rows for a neighbour or for a daemon of another domain.

        Neighbours get heartbeats from each other directly; of the other
        members of the domain they need only the addresses.
        """
        rows = {}
        own = self._table.own
        for member in self._table.members():
            if member.failure_domain != self._own_domain:
                continue
            if is_neighbour and member.instance != own.instance:
                if member.state is State.DEAD:
                    continue
                member = heartbeats.reduce_to_address(member)
            rows[member.instance] = heartbeats.pack_member(member)
        return heartbeats.Content(self._epoch, rows, dict(self._versions))

    def _update_senders(self) -> None:
        wanted = self._receivers.choose(
            self._table.live(), self._table.known_instances()
        )
        for instance in self._senders.keys() - wanted.keys():
            self._senders.pop(instance).stop()
        for instance, address in wanted.items():
            self._kernel.peers.set_address(instance, address)
            if instance not in self._senders:
                self._senders[instance] = self._make_sender(instance)
                self._senders[instance].start()

    def _make_sender(self, instance: ids.InstanceId) -> heartbeats.Sender:
        return heartbeats.Sender(
            self._kernel.peers,
            instance,
            self._kernel.incarnation,
            self._interval_s,
            self._phase_s,
            lambda: self._get_content(instance),
            self._on_refused,
        )

    def _on_beat(self, instance: ids.InstanceId, beat) -> None:
        is_known = self._table.record_heartbeat(instance, beat.incarnation)
        expected = (beat.incarnation, beat.number)
        if not is_known or self._received.get(instance) != expected:
            self._request_resend(instance)
        self._refresh_if_back(instance)

    def _on_update(self, instance: ids.InstanceId, update) -> None:
        before = (update.incarnation, update.number - 1)
        if not update.is_full and self._received.get(instance) != before:
            self._request_resend(instance)
            return
        self._received[instance] = (update.incarnation, update.number)
        rows = [heartbeats.unpack_member(row) for row in update.rows]
        for member in rows:
            if member.instance == instance:
                self._table.record_member(member)
        self._table.record_heartbeat(instance, update.incarnation)
        self._table.record_roster(
            instance, rows, update.removed, update.is_full
        )
        self._refresh_soon()
        self._apply_versions(update.versions)

    def _refresh_soon(self) -> None:
        """Schedules one refresh for several updates that arrive together."""
        if self._is_refresh_due:
            return
        self._is_refresh_due = True
        eventlet.spawn_after(REFRESH_DELAY_S, self._refresh)

    def _refresh(self) -> None:
        self._is_refresh_due = False
        if self._table.refresh():
            self._apply_change()

    def _request_resend(self, instance: ids.InstanceId) -> None:
        eventlet.spawn_n(self._send_resend, instance)

    def _send_resend(self, instance: ids.InstanceId) -> None:
        try:
            self._kernel.peers.notify(instance, heartbeats.Resend())
        except exceptions.PeerError:
            pass

    def _on_resend(self, instance: ids.InstanceId, _) -> None:
        sender = self._senders.get(instance)
        if sender is not None:
            sender.session.reset()
            sender.send_now()

    def _on_disconnect(self, instance: ids.InstanceId, _) -> None:
        self._on_resend(instance, None)

    def _on_refused(self, instance: ids.InstanceId) -> None:
        self._table.mark_refused(instance)
        self._refresh()

    def _refresh_if_back(self, instance: ids.InstanceId) -> None:
        member = self._table.get(instance)
        if member is None or member.state in (State.SUSPECT, State.DEAD):
            self._refresh_soon()

    def _apply_versions(self, versions: heartbeats.Versions) -> None:
        newer = {
            model: version
            for model, version in versions.items()
            if version > self._versions.get(model, -1)
        }
        if not newer:
            return
        self._versions.update(newer)
        self._send_changes()
        for model, version in newer.items():
            for function in self._version_handlers:
                function(model, version)

    def _handle_instance_list(self, listed: list[base.ListedInstance]) -> None:
        self._table.apply_instance_list(listed)
        self._update_senders()
