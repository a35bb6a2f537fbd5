"""Plug-in ``directory``: published text, announced versions, replicas."""

from __future__ import annotations

import typing

import eventlet
import prometheus_client

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.directory import follower
from lentildeal._internal.directory import replicas
from lentildeal._internal.directory import text_reads
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.platform import adapter  # noqa: F401
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import read_pacing
from lentildeal._internal.utils import wakeup

# Delay after a failed read of a newer text.
TEXT_RETRY_S = 0.1

_unreadable_total = prometheus_client.Counter(
    'lentildeal_unreadable_records_total',
    'Directory records that are not in their published form.',
    ['stream'],
)


@plugins.register('directory')
class Directory(plugins.Plugin):
    """Follows the directory streams of the platform."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self.platform = platform_base.make_platform(kernel.settings)
        self.replicas = replicas.ReplicaTable()
        self.changed = wakeup.Wakeup()
        self.read_demand = read_pacing.ReadDemand()
        self._text: typing.Optional[deployment.PublishedText] = None
        self._versions: dict[ids.ModelName, ids.Version] = {}
        self._reachable: dict[str, bool] = {}
        self._is_reading_text = False
        self._text_read = wakeup.Wakeup()
        self.text_reads = text_reads.TextReads()
        self._text_follower: typing.Optional[follower.KeyedFollower] = None

    @property
    def text(self) -> typing.Optional[deployment.PublishedText]:
        """The published text in effect, None before the first one."""
        return self._text

    @property
    def is_loaded(self) -> bool:
        """Whether text and replicas have been read at least once."""
        streams = self.platform.directory_streams
        return self._text is not None and all(
            stream in self._reachable for stream in streams
        )

    def announced_version(
        self, model: ids.ModelName
    ) -> typing.Optional[ids.Version]:
        """Latest version announced by the trainer, None before the first."""
        return self._versions.get(model)

    def start(self) -> None:
        """Starts a green thread for each stream."""
        for stream in self.platform.directory_streams:
            is_text = stream == self.platform.directory_streams[0]
            keyed = follower.KeyedFollower(
                self.platform.store,
                stream,
                self,
                self.read_demand,
                self.text_reads.record_success if is_text else None,
            )
            if is_text:
                self._text_follower = keyed
            self._kernel.spawn(f'follow-{stream}', keyed.run)

    def reload(self, settings: settings_module.Settings) -> None:
        """See the base class."""
        self.platform.reload(settings)

    def mark_leaving(self, replica: deployment.Replica) -> None:
        """Handles an answer by which a replica says that it will leave."""
        if self.replicas.mark_leaving(replica):
            events.emit(
                'replica_changed',
                replica=replica.replica_id,
                state=deployment.ReplicaState.LEAVING.value,
                versions=replica.versions,
            )
            self.changed.set()

    def request_text(self, version: int) -> None:
        """Reads the newest text at once because a newer one is in effect.

        The follower may wait at a connection that has gone silent.

        Args:
            version: Version that another daemon has seen.
        """
        if self._is_reading_text:
            return
        events.emit(
            'text_outdated',
            version=None if self._text is None else self._text.version,
            required=version,
        )
        self.start_text_read()

    def start_text_read(self) -> None:
        """Starts to read the newest text, unless it is being read."""
        if not self._is_reading_text:
            self._is_reading_text = True
            self._kernel.spawn('read-text', self._read_text)

    def wait_for_text_read(self, timeout_s: float) -> None:
        """Reads the newest text and waits for the end of the read."""
        self.start_text_read()
        self._text_read.wait(timeout_s)

    def _read_text(self) -> None:
        stream = self.platform.directory_streams[0]
        started_s = self.text_reads.record_start()
        try:
            found, end = self.platform.store.read_newest(stream)
            self.handle_snapshot(stream, found)
            known = self._text_follower
            # A page that ends before the records that were read is old.
            if known is None or end >= known.next_offset:
                self.text_reads.record_success(started_s)
            else:
                self.text_reads.record_failure()
            self._end_text_read()
        except exceptions.PlatformError as error:
            # Requested again as long as the text is needed.
            self.text_reads.record_failure()
            self._end_text_read()
            events.emit('text_read_failed', reason=error.message)
            eventlet.sleep(TEXT_RETRY_S)
        finally:
            self.text_reads.record_end()
            self._is_reading_text = False

    def _end_text_read(self) -> None:
        self.text_reads.record_end()
        self._text_read.set()

    def handle_snapshot(
        self, stream: str, records: list[platform_base.KeyedRecord]
    ) -> None:
        """See ``follower.KeyedSink``."""
        changes = [
            change
            for change in (self._decode(stream, r) for r in records)
            if change is not None
        ]
        replica_changes = [
            change
            for change in changes
            if isinstance(change, deployment.ReplicaChange)
        ]
        for change in changes:
            if not isinstance(change, deployment.ReplicaChange):
                self._apply(change)
        if replica_changes or self._is_replica_stream(stream):
            self.replicas.replace_all(replica_changes)
        self.changed.set()

    def handle_record(
        self, stream: str, record: platform_base.KeyedRecord
    ) -> None:
        """See ``follower.KeyedSink``."""
        change = self._decode(stream, record)
        if change is not None:
            self._apply(change)
            self.changed.set()

    def mark_reachable(self, stream: str) -> None:
        """See ``follower.KeyedSink``."""
        if self._reachable.get(stream) is not True:
            events.emit('dependency_regained', dependency=stream)
        self._reachable[stream] = True
        self.replicas.mark_store_reachable()

    def mark_unreachable(self, stream: str, reason: str) -> None:
        """See ``follower.KeyedSink``."""
        if stream not in self._reachable:
            # Nothing was read yet, so no entry can have expired.
            return
        if self._reachable[stream]:
            events.emit('dependency_lost', dependency=stream, reason=reason)
        self._reachable[stream] = False
        self.replicas.mark_store_unreachable()

    def _is_replica_stream(self, stream: str) -> bool:
        return stream == self.platform.directory_streams[-1]

    def _decode(
        self, stream: str, record: platform_base.KeyedRecord
    ) -> typing.Optional[deployment.Change]:
        try:
            return self.platform.decode_change(stream, record)
        except exceptions.UnreadableRecordError as error:
            _unreadable_total.labels(stream).inc()
            events.emit(
                'record_ignored',
                stream=stream,
                key=record.key,
                reason=error.message,
            )
            return None

    def _apply(self, change: deployment.Change) -> None:
        if isinstance(change, deployment.ReplicaChange):
            self._apply_replica(change)
        elif isinstance(change, deployment.VersionAnnouncement):
            known = self._versions.get(change.model, 0)
            if change.version > known:
                self._versions[change.model] = change.version
                events.emit(
                    'version_named',
                    model=change.model,
                    version=change.version,
                )
        elif self._text is None or change.text.version > self._text.version:
            self._text = change.text
            events.emit('text_applied', version=change.text.version)

    def _apply_replica(self, change: deployment.ReplicaChange) -> None:
        before = self.replicas.get(change.replica_id)
        self.replicas.apply(change)
        after = self.replicas.get(change.replica_id)
        if before != after:
            events.emit(
                'replica_changed',
                replica=change.replica_id,
                state=after.state.value if after else 'gone',
                versions=after.versions if after else {},
            )
