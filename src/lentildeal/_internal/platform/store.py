"""Calls to the platform's store.

Errors are told apart by what is known of the effect of a call; what to do
about them is decided by the callers of this module.
"""

from __future__ import annotations

import base64
import json
import struct
import typing
import urllib.parse

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.platform import names
from lentildeal._internal.settings import settings as settings_module

# The store keeps an append waiting for at most 2 s before it refuses it, and
# answers in 4 ms; slow phases of the platform take 60 times as long.
APPEND_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5
# Only partition 0 of a stream is used.
PARTITION = 0
TOO_MANY_CALLS = 429
# Statuses by which the store says that an append had no effect.
NOTHING_DONE = frozenset((400, 403, 404, 409, 412, 413, 429, 503, 507))
LENGTH = struct.Struct('>I')
READ_HEAD = struct.Struct('>QQ')


class PlatformStore(platform_base.RecordStore):
    """Streams of the platform's store."""

    def __init__(self, settings: settings_module.Store) -> None:
        self._settings = settings
        self._client = http_client.HttpClient()

    def reload(self, settings: settings_module.Store) -> None:
        """Uses another address from the next call on."""
        self._settings = settings

    def append(
        self,
        stream: str,
        bodies: typing.Sequence[bytes],
        *,
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """See the base class."""
        body = b''.join(LENGTH.pack(len(body)) + body for body in bodies)
        query = {'Topic': stream, 'part': PARTITION}
        try:
            answer = self._call(
                'POST',
                names.APPEND_PATH,
                query,
                timeout_s or APPEND_TIMEOUT_S,
                body,
            )
        except exceptions.NotRunError as error:
            raise exceptions.LogUnavailableError(error.message) from error
        except exceptions.MayHaveRunError as error:
            raise exceptions.LogAnswerLostError(error.message) from error
        if answer.status == 200:
            try:
                return ids.Offset(int(answer.read_json()['Offset']))
            except (KeyError, TypeError, exceptions.PlatformError) as error:
                raise exceptions.LogAnswerLostError(
                    f'the store confirmed an append unreadably: {error!r}'
                ) from error
        message = f'the store refused an append to {stream}: {answer.status}'
        if answer.status in NOTHING_DONE:
            raise exceptions.LogUnavailableError(message)
        raise exceptions.LogAnswerLostError(message)

    def read(
        self,
        stream: str,
        start: ids.Offset,
        *,
        wait_s: float = 0.0,
        limit_bytes: int = 262_144,
    ) -> platform_base.RawPage:
        """See the base class."""
        query = {
            'Topic': stream,
            'part': PARTITION,
            'From': start,
            'MaxKb': max(1, -(-limit_bytes // 1024)),
            'WaitMs': int(wait_s * 1000),
        }
        answer = self._read(names.READ_PATH, query, wait_s)
        if answer.status == 410:
            raise exceptions.LogTrimmedError(
                f'records of {stream} before a later offset are gone',
                int(answer.read_json()['First']),
            )
        if answer.status == 404:
            # Streams come to exist with their first record.
            return platform_base.RawPage((), ids.Offset(0))
        self._check(answer, stream)
        return _decode_page(answer.body, start)

    def read_newest(
        self, stream: str
    ) -> tuple[list[platform_base.KeyedRecord], ids.Offset]:
        """See the base class."""
        found: list[platform_base.KeyedRecord] = []
        query: dict[str, typing.Any] = {'Topic': stream, 'part': PARTITION}
        end: typing.Optional[int] = None
        while True:
            answer = self._read(names.NEWEST_PATH, query, 0.0)
            if answer.status == 404:
                return [], ids.Offset(0)
            self._check(answer, stream)
            page = answer.read_json()
            # Pages are no snapshot: what was written between two of them
            # comes again when reading on from the first page's end.
            end = page['End'] if end is None else end
            for entry in page['Entries']:
                value = base64.b64decode(entry.get('Value') or '')
                found.append(
                    platform_base.KeyedRecord(entry['Key'], value or None)
                )
            if not page['HasMore'] or not page['Entries']:
                return found, ids.Offset(end)
            query['After'] = page['Entries'][-1]['Key']

    def decode_keyed(self, body: bytes) -> platform_base.KeyedRecord:
        """See the base class."""
        if not body or len(body) < 1 + body[0]:
            raise exceptions.UnreadableRecordError(
                f'a keyed record of {len(body)} bytes has no key'
            )
        end = 1 + body[0]
        try:
            key = body[1:end].decode()
        except UnicodeDecodeError as error:
            raise exceptions.UnreadableRecordError(
                f'a key is not UTF-8: {error}'
            ) from error
        return platform_base.KeyedRecord(key, body[end:] or None)

    def _read(
        self, path: str, query: dict, wait_s: float
    ) -> http_client.HttpResponse:
        try:
            return self._call('GET', path, query, wait_s + READ_TIMEOUT_S)
        except (
            exceptions.NotRunError,
            exceptions.MayHaveRunError,
        ) as error:
            raise exceptions.LogUnavailableError(error.message) from error

    def _call(
        self,
        method: str,
        path: str,
        query: dict,
        timeout_s: float,
        body: typing.Optional[bytes] = None,
    ) -> http_client.HttpResponse:
        url = (
            f'http://{self._settings.address}{path}'
            f'?{urllib.parse.urlencode(query)}'
        )
        try:
            return self._client.request(
                method,
                url,
                timeout_s=timeout_s,
                body=body,
                is_repeatable=method == 'GET',
            )
        except exceptions.MayHaveRunError:
            # Connections that went silent together are not tried one by one.
            self._client.close_idle()
            raise

    def _check(self, answer: http_client.HttpResponse, stream: str) -> None:
        if answer.status == 200:
            return
        kind = exceptions.LogUnavailableError
        if answer.status == TOO_MANY_CALLS:
            kind = exceptions.LogOverloadedError
        raise kind(f'the store refused a read of {stream}: {answer.status}')


def _decode_page(body: bytes, start: ids.Offset) -> platform_base.RawPage:
    try:
        end, oldest = READ_HEAD.unpack_from(body)
        position = READ_HEAD.size
        found = []
        offset = max(start, oldest)
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            record = body[position : position + length]
            if len(record) < length:
                raise exceptions.LogUnavailableError('a record is cut short')
            found.append(platform_base.RawRecord(ids.Offset(offset), record))
            position += length
            offset += 1
    except struct.error as error:
        raise exceptions.LogUnavailableError(
            f'the store sent a page that ends early: {error}'
        ) from error
    return platform_base.RawPage(tuple(found), ids.Offset(end))


def decode_json(value: bytes) -> typing.Any:
    """Decodes a value that others wrote.

    Raises:
        exceptions.UnreadableRecordError: It is no JSON.
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise exceptions.UnreadableRecordError(
            f'a value of {len(value)} bytes is no JSON: {error}'
        ) from error
