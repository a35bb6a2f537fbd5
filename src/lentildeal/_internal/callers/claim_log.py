"""Claims of idempotency keys in the log, appended in groups."""

from __future__ import annotations

import collections
import dataclasses
import secrets
import typing

import eventlet
import eventlet.event
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.utils import backoff
from lentildeal._internal.utils import clock

STREAM = 'claims'
# Claims in one record. At about 100 bytes each a record stays below 64 KiB.
MAX_GROUP = 500
# Appends of one group whose answers may be lost. Later groups wait meanwhile.
MAX_APPENDS = 5
# Claims remembered, about 300 bytes each. Claims that retention has dropped
# are remembered as long as they fit.
MAX_CLAIMS = 200_000
# Nonces of claims that this instance has not acted on yet. Without its nonce
# a claim is not acted on any more, which is safe.
MAX_UNUSED_NONCES = 50_000

Key = tuple[ids.ServiceName, str]

_appends_total = prometheus_client.Counter(
    'lentildeal_claim_appends_total',
    'Appends of idempotency claims to the log.',
    ['result'],
)


@dataclasses.dataclass(frozen=True)
class Winner:
    """First claim of a key in the order of the log."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    nonce: str


@dataclasses.dataclass
class _Pending:
    """A claim that is on its way into the log."""

    key: Key
    nonce: str
    deadline: clock.Deadline
    event: eventlet.event.Event


class ClaimFold:
    """First claims by key, folded from the stream."""

    def __init__(self) -> None:
        self.folded_to = ids.Offset(0)
        self.missed_to = ids.Offset(0)
        self._winners: collections.OrderedDict[Key, Winner] = (
            collections.OrderedDict()
        )
        self._is_first_page = True

    def winner_of(self, key: Key) -> typing.Optional[Winner]:
        """First claim of a key, None if none is known."""
        return self._winners.get(key)

    def add_page(self, page: base.LogPage) -> None:
        """Folds one page of records."""
        if page.oldest > self.folded_to:
            if not self._is_first_page:
                # Records were dropped before this instance read them. A
                # claim among them may precede one that is being judged.
                self.missed_to = page.oldest
            self.folded_to = page.oldest
        self._is_first_page = False
        for record in page.records:
            if record.offset >= self.folded_to:
                self._add_record(record.body)
                self.folded_to = ids.Offset(record.offset + 1)

    def _add_record(self, body: typing.Any) -> None:
        try:
            if body['kind'] != 'claims':
                return
            for claim in body['claims']:
                key = claim['service'], claim['key']
                winner = Winner(
                    body['instance'], body['incarnation'], claim['nonce']
                )
                self._winners.setdefault(key, winner)
        except (KeyError, TypeError) as error:
            # Waiting at a record of unknown form would stop all claims.
            logger.warning('claim record not understood: {!r}', error)
        while len(self._winners) > MAX_CLAIMS:
            self._winners.popitem(last=False)


class ClaimLog:
    """Appends claims and finds out which one was first."""

    def __init__(self, kernel, log: base.LogService) -> None:
        self._kernel = kernel
        self._log = log
        self._fold = ClaimFold()
        self._unused_nonces: collections.OrderedDict[Key, str] = (
            collections.OrderedDict()
        )
        self._pending: dict[Key, _Pending] = {}
        self._queue: list[_Pending] = []
        self._work = eventlet.event.Event()
        self._progress = eventlet.event.Event()

    def start(self) -> None:
        """Spawns the reader and the writer."""
        self._kernel.spawn('claims-reader', self._read_stream)
        self._kernel.spawn('claims-writer', self._write_groups)

    def try_use(self, key: Key, winner: Winner) -> bool:
        """Whether the first claim is this instance's and not used before.

        A claim is used by one run. A later repeat whose first run is no
        longer remembered must not run again.
        """
        if self._unused_nonces.get(key) != winner.nonce:
            return False
        del self._unused_nonces[key]
        return True

    def claim(self, key: Key, deadline: clock.Deadline) -> Winner:
        """Claims a key unless it is claimed, and returns the first claim.

        Raises:
            exceptions.MayHaveRunError: The first claim can't be found out,
                so nothing was run now, but it may have run before.
        """
        winner = self._fold.winner_of(key)
        if winner is not None:
            return winner
        pending = self._pending.get(key) or self._enqueue(key, deadline)
        unknown = exceptions.MayHaveRunError(
            f'the log did not confirm the claim of key {key[1]!r} in time'
        )
        with eventlet.Timeout(deadline.remaining_s, unknown):
            return pending.event.wait()

    def _enqueue(self, key: Key, deadline: clock.Deadline) -> _Pending:
        # The nonce stays the same in repeated appends: whichever copy comes
        # first in the log is this instance's claim.
        nonce = self._unused_nonces.setdefault(key, secrets.token_hex(8))
        if len(self._unused_nonces) > MAX_UNUSED_NONCES:
            self._unused_nonces.popitem(last=False)
        pending = _Pending(key, nonce, deadline, eventlet.event.Event())
        self._pending[key] = pending
        self._queue.append(pending)
        if not self._work.ready():
            self._work.send()
        return pending

    def _write_groups(self) -> None:
        interval_s = self._kernel.settings.timing.claim_interval_ms / 1000
        while True:
            self._work.wait()
            self._work = eventlet.event.Event()
            while self._queue:
                group = self._queue[:MAX_GROUP]
                del self._queue[:MAX_GROUP]
                started_s = clock.monotonic_s()
                self._write_group(group)
                spent_s = clock.monotonic_s() - started_s
                eventlet.sleep(max(0.0, interval_s - spent_s))

    def _write_group(self, group: list[_Pending]) -> None:
        missed_before = self._fold.missed_to
        try:
            offset = self._append(group)
        except exceptions.PlatformError as error:
            self._fail(group, f'the log is down: {error.message}')
            return
        except Exception:
            self._fail(group, 'the append of the claim failed')
            raise
        eventlet.spawn_n(self._judge, group, offset, missed_before)

    def _append(self, group: list[_Pending]) -> ids.Offset:
        """Appends until the log confirms it.

        A copy whose answer was lost may come before the confirmed one. It
        carries the same nonces and so does not change who is first.

        Raises:
            exceptions.PlatformError: The log refuses or does not answer.
        """
        body = {
            'kind': 'claims',
            'instance': self._kernel.settings.instance,
            'incarnation': self._kernel.incarnation,
            'claims': [
                {'service': p.key[0], 'key': p.key[1], 'nonce': p.nonce}
                for p in group
            ],
        }
        delays = backoff.Backoff()
        for _ in range(MAX_APPENDS):
            if all(pending.deadline.has_passed for pending in group):
                break
            try:
                offset = self._log.append(STREAM, body)
                _appends_total.labels('confirmed').inc()
                return offset
            except exceptions.LogAnswerLostError:
                _appends_total.labels('answer_lost').inc()
                eventlet.sleep(delays.next_delay_s())
            except exceptions.LogUnavailableError:
                _appends_total.labels('refused').inc()
                raise
        raise exceptions.LogUnavailableError('no append was confirmed')

    def _judge(self, group, offset: ids.Offset, missed_before) -> None:
        """Waits until the stream is read past the claims."""
        while self._fold.folded_to <= offset:
            self._progress.wait()
        if self._fold.missed_to != missed_before:
            self._fail(group, 'the log dropped claims before they were read')
            return
        for pending in group:
            self._pending.pop(pending.key, None)
            winner = self._fold.winner_of(pending.key)
            pending.event.send(winner)

    def _fail(self, group: list[_Pending], problem: str) -> None:
        for pending in group:
            self._pending.pop(pending.key, None)
            pending.event.send_exception(
                exceptions.MayHaveRunError(
                    f'key {pending.key[1]!r} could not be claimed: {problem}',
                    remedy='repeat the request with the same key later',
                )
            )

    def _read_stream(self) -> None:
        wait_s = self._kernel.settings.timing.log_poll_ms / 1000
        delays = backoff.Backoff()
        while True:
            try:
                page = self._log.read(STREAM, self._fold.folded_to, wait_s)
            except exceptions.PlatformError:
                eventlet.sleep(delays.next_delay_s())
                continue
            delays.reset()
            self._fold.add_page(page)
            progress, self._progress = self._progress, eventlet.event.Event()
            progress.send()
