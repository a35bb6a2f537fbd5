"""Claims of idempotency keys in the log, appended in batches."""

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
# Claims in one record. At about 100 bytes each, a record stays below 64 KiB.
MAX_GROUP = 500
# Attempts to append one group when responses are lost. Later groups wait.
MAX_APPENDS = 5
# Claims kept in memory, about 300 bytes each. Claims that the log has dropped
# by retention are kept until this limit is reached.
MAX_CLAIMS = 200_000
# Nonces of claims whose calls have not run yet. If a nonce is dropped, the
# call of its claim never runs, which is safe.
MAX_UNUSED_NONCES = 50_000

Key = tuple[ids.ServiceName, str]

_appends_total = prometheus_client.Counter(
    'lentildeal_claim_appends_total',
    'Appends of idempotency claims to the log.',
    ['result'],
)


@dataclasses.dataclass(frozen=True)
class FirstClaim:
    """Earliest claim of a key in log order."""

    instance: ids.InstanceId
    incarnation: ids.Incarnation
    nonce: str


@dataclasses.dataclass
class _PendingClaim:
    """A claim whose append is not resolved yet."""

    key: Key
    nonce: str
    deadline: clock.Deadline
    event: eventlet.event.Event


class ClaimIndex:
    """First claim of each key, built from the stream.

    Attributes:
        next_offset: Offset of the next record to read.
        dropped_to: Offset up to which records were dropped before this
            instance read them.
    """

    def __init__(self) -> None:
        self.next_offset = ids.Offset(0)
        self.dropped_to = ids.Offset(0)
        self._first_claims: collections.OrderedDict[Key, FirstClaim] = (
            collections.OrderedDict()
        )
        self._is_first_page = True

    def get_first_claim(self, key: Key) -> typing.Optional[FirstClaim]:
        """Returns the first claim of a key, None if none is known."""
        return self._first_claims.get(key)

    def add_page(self, page: base.LogPage) -> None:
        """Applies one page of records."""
        if page.oldest > self.next_offset:
            if not self._is_first_page:
                # Records were dropped before this instance read them. A
                # claim among them may precede one that is being resolved.
                self.dropped_to = page.oldest
            self.next_offset = page.oldest
        self._is_first_page = False
        for record in page.records:
            if record.offset >= self.next_offset:
                self._add_record(record.body)
                self.next_offset = ids.Offset(record.offset + 1)

    def _add_record(self, body: typing.Any) -> None:
        try:
            if body['kind'] != 'claims':
                return
            for claim in body['claims']:
                key = claim['service'], claim['key']
                first_claim = FirstClaim(
                    body['instance'], body['incarnation'], claim['nonce']
                )
                self._first_claims.setdefault(key, first_claim)
        except (KeyError, TypeError) as error:
            # Skipped, since retrying an invalid record would block all claims.
            logger.warning('skipped an invalid claim record: {!r}', error)
        while len(self._first_claims) > MAX_CLAIMS:
            self._first_claims.popitem(last=False)


class ClaimLog:
    """Appends claims and determines the first one for each key."""

    def __init__(self, kernel, log: base.LogService) -> None:
        self._kernel = kernel
        self._log = log
        self._index = ClaimIndex()
        self._unused_nonces: collections.OrderedDict[Key, str] = (
            collections.OrderedDict()
        )
        self._pending: dict[Key, _PendingClaim] = {}
        self._queue: list[_PendingClaim] = []
        self._work = eventlet.event.Event()
        self._progress = eventlet.event.Event()

    def start(self) -> None:
        """Spawns the reader and writer threads."""
        self._kernel.spawn('claims-reader', self._read_stream)
        self._kernel.spawn('claims-writer', self._write_groups)

    def try_use(self, key: Key, first_claim: FirstClaim) -> bool:
        """Uses the first claim; whether it is this instance's and unused.

        A claim allows one run. A repeat must not run again after its first
        run was dropped from memory.
        """
        if self._unused_nonces.get(key) != first_claim.nonce:
            return False
        del self._unused_nonces[key]
        return True

    def claim(self, key: Key, deadline: clock.Deadline) -> FirstClaim:
        """Claims a key unless it is claimed already; returns the first claim.

        Raises:
            exceptions.MayHaveRunError: The first claim can't be determined.
                Nothing was run now, but the call may have run before.
        """
        first_claim = self._index.get_first_claim(key)
        if first_claim is not None:
            return first_claim
        pending = self._pending.get(key) or self._enqueue(key, deadline)
        unknown = exceptions.MayHaveRunError(
            f'the log did not confirm the claim of key {key[1]!r} in time'
        )
        with eventlet.Timeout(deadline.remaining_s, unknown):
            return pending.event.wait()

    def _enqueue(self, key: Key, deadline: clock.Deadline) -> _PendingClaim:
        # Repeated appends reuse the nonce, so that the first copy in the log
        # counts as this instance's claim.
        nonce = self._unused_nonces.setdefault(key, secrets.token_hex(8))
        if len(self._unused_nonces) > MAX_UNUSED_NONCES:
            self._unused_nonces.popitem(last=False)
        pending = _PendingClaim(key, nonce, deadline, eventlet.event.Event())
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

    def _write_group(self, group: list[_PendingClaim]) -> None:
        dropped_before = self._index.dropped_to
        try:
            offset = self._append(group)
        except exceptions.PlatformError as error:
            self._fail_group(group, f'the log is unavailable: {error.message}')
            return
        except Exception:
            self._fail_group(group, 'the append of the claim failed')
            raise
        eventlet.spawn_n(self._resolve_group, group, offset, dropped_before)

    def _append(self, group: list[_PendingClaim]) -> ids.Offset:
        """Appends a group until the log confirms it.

        A copy whose response was lost may precede the confirmed one. It has
        the same nonces, so it does not change the first claims.

        Raises:
            exceptions.PlatformError: The log refuses or does not respond.
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

    def _resolve_group(
        self, group, offset: ids.Offset, dropped_before
    ) -> None:
        """Waits until the claims are read back and reports the first ones."""
        while self._index.next_offset <= offset:
            self._progress.wait()
        if self._index.dropped_to != dropped_before:
            self._fail_group(
                group, 'the log dropped claims before they were read'
            )
            return
        for pending in group:
            self._pending.pop(pending.key, None)
            first_claim = self._index.get_first_claim(pending.key)
            pending.event.send(first_claim)

    def _fail_group(self, group: list[_PendingClaim], problem: str) -> None:
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
                page = self._log.read(STREAM, self._index.next_offset, wait_s)
            except exceptions.PlatformError:
                eventlet.sleep(delays.next_delay_s())
                continue
            delays.reset()
            self._index.add_page(page)
            progress, self._progress = self._progress, eventlet.event.Event()
            progress.send()
