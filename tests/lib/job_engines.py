"""Attempts at replicas that run until a test completes them."""

from __future__ import annotations

from eventlet import event

from lentildeal._internal.jobs import attempts
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import clock


class Engines:
    """Replicas whose attempts run until the test completes them.

    Attributes:
        started: Item IDs in order of their start, by replica.
        runs: Last attempt of each item.
    """

    def __init__(self) -> None:
        self.started: dict[str, list[str]] = {}
        self.runs: dict[str, Attempt] = {}

    def make_attempt(self, _platform, _connections, replica, progress, *_rest):
        """Makes an attempt; takes the place of the class."""
        return Attempt(self, replica, progress)


class Attempt:
    """Attempt that makes events only when the test requests them."""

    def __init__(self, engines, replica, progress) -> None:
        self.replica = replica
        self.progress = progress
        self.versions = progress.versions
        self.started_s = self.last_received_s = clock.monotonic_s()
        self.run_events = self.event_count = 0
        self.pace_s = None
        self.reason = ''
        self._engines = engines
        self._end = event.Event()

    def run(self, _host, item, _account=None):
        """See ``attempts.Attempt``."""
        replica_id = self.replica.replica_id
        self._engines.started.setdefault(replica_id, []).append(item.item_id)
        self._engines.runs[item.item_id] = self
        return self._end.wait()

    def make_events(self, count, pace_s=None) -> None:
        """Makes all events so far, by one version."""
        self.progress = jobs.Progress(('text',) * count, str(count), (1,))
        self.run_events = self.event_count = count
        self.pace_s = pace_s
        self.last_received_s = clock.monotonic_s()

    def complete(self) -> None:
        """Ends the attempt with a whole text."""
        self._end.send(attempts.AttemptOutcome.COMPLETE)

    def crash(self) -> None:
        """Ends the attempt as if the replica had gone down."""
        self._end.send(attempts.AttemptOutcome.CRASHED)

    def raise_error(self) -> None:
        """Ends the attempt with an unexpected error."""
        self._end.send_exception(LookupError('unexpected'))

    def break_off(self) -> None:
        """Ends the attempt as if the connection had been closed."""
        self._end.send(attempts.AttemptOutcome.BROKEN)


def install(monkeypatch) -> Engines:
    """Puts these attempts in place of those at replicas."""
    found = Engines()
    monkeypatch.setattr(attempts, 'Attempt', found.make_attempt)
    return found
