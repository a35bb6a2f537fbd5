"""Client of the platform's store.

Raises different exceptions for calls without effect and for calls that may
have had an effect. Callers decide how to handle them.
"""

from __future__ import annotations

import base64
import json
import struct
import typing
import urllib.parse

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.logs import events
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.platform import documents
from lentildeal._internal.platform import names
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import decimals

# The store delays an append for at most 2 s before it refuses it. It normally
# answers in 4 ms; in slow phases of the platform it takes 60 times as long.
APPEND_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5
# All streams use partition 0 only.
PARTITION = 0
TOO_MANY_REQUESTS = 429
# Response statuses that mean that an append had no effect.
NO_EFFECT_STATUSES = frozenset((400, 403, 404, 409, 412, 413, 429, 503, 507))
RECORD_LENGTH = struct.Struct('>I')
PAGE_HEADER = struct.Struct('>QQ')


class PlatformStore(platform_base.RecordStore):
    """Reads and appends to the streams of the platform's store."""

    def __init__(self, settings: settings_module.Store) -> None:
        self._settings = settings
        self._client = http_client.HttpClient()

    def reload(self, settings: settings_module.Store) -> None:
        """Applies changed settings, such as the address, to later calls."""
        self._settings = settings

    def append(
        self,
        stream: str,
        bodies: typing.Sequence[bytes],
        *,
        timeout_s: typing.Optional[float] = None,
    ) -> ids.Offset:
        """See the base class."""
        body = b''.join(
            RECORD_LENGTH.pack(len(body)) + body for body in bodies
        )
        query = {'Topic': stream, 'part': PARTITION}
        try:
            response = self._call(
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
        if response.status == 200:
            try:
                return _read_offset(response.read_json(), 'Offset')
            except exceptions.PlatformError as error:
                raise exceptions.LogAnswerLostError(
                    f'the store confirmed an append without a valid'
                    f' offset: {error!r}'
                ) from error
        message = f'the store refused an append to {stream}: {response.status}'
        if response.status in NO_EFFECT_STATUSES:
            raise exceptions.LogUnavailableError(message)
        raise exceptions.LogAnswerLostError(message)

    def read(
        self,
        stream: str,
        start: ids.Offset,
        *,
        wait_s: float = 0.0,
        limit_bytes: int = 262_144,
    ) -> platform_base.StorePage:
        """See the base class."""
        query = {
            'Topic': stream,
            'part': PARTITION,
            'From': start,
            'MaxKb': max(1, -(-limit_bytes // 1024)),
            'WaitMs': int(wait_s * 1000),
        }
        response = self._read(names.READ_PATH, query, wait_s)
        if response.status == 410:
            raise exceptions.LogTrimmedError(
                f'the store has dropped records of {stream} at this offset',
                _read_offset(response.read_json(), 'First'),
            )
        if response.status == 404:
            # A stream exists only once it has a record.
            return platform_base.StorePage((), ids.Offset(0))
        self._check(response, stream)
        return _decode_page(response.body, start)

    def read_newest(
        self, stream: str
    ) -> tuple[list[platform_base.KeyedRecord], ids.Offset]:
        """See the base class."""
        records: list[platform_base.KeyedRecord] = []
        query: dict[str, typing.Any] = {'Topic': stream, 'part': PARTITION}
        end: typing.Optional[int] = None
        while True:
            response = self._read(names.NEWEST_PATH, query, 0.0)
            if response.status == 404:
                return [], ids.Offset(0)
            self._check(response, stream)
            page = _decode_newest(response.read_json(), stream)
            # Pages are not a consistent snapshot. Reading on from the end of
            # the first page includes all records written since then.
            end = page.end if end is None else end
            records.extend(page.records)
            if not page.has_more:
                return records, ids.Offset(end)
            query['After'] = page.last_key

    def decode_keyed(self, body: bytes) -> platform_base.KeyedRecord:
        """See the base class."""
        if not body or len(body) < 1 + body[0]:
            raise exceptions.UnreadableRecordError(
                f'keyed record of {len(body)} bytes has no complete key'
            )
        end = 1 + body[0]
        try:
            key = body[1:end].decode()
        except UnicodeDecodeError as error:
            raise exceptions.UnreadableRecordError(
                f'key of a keyed record is not UTF-8: {error}'
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
            # The other idle connections have probably failed as well, so they
            # are closed rather than tried one by one.
            self._client.close_idle()
            raise

    def _check(self, response: http_client.HttpResponse, stream: str) -> None:
        if response.status == 200:
            return
        error_class = exceptions.LogUnavailableError
        if response.status == TOO_MANY_REQUESTS:
            error_class = exceptions.LogOverloadedError
        raise error_class(
            f'the store refused a read of {stream}: {response.status}'
        )


class _NewestPage(typing.NamedTuple):
    """Some of the newest records of the keys of a stream."""

    records: list[platform_base.KeyedRecord]
    end: int
    has_more: bool
    last_key: str


def _decode_newest(document: typing.Any, stream: str) -> _NewestPage:
    """Decodes a page of newest records, without the ones that are odd.

    Raises:
        exceptions.LogUnavailableError: It is not such a page.
    """
    try:
        entries = document['Entries']
        return _NewestPage(
            list(_iter_entries(entries, stream)),
            _require_offset(document['End']),
            bool(document['HasMore'] and entries),
            entries[-1]['Key'] if entries else '',
        )
    except documents.DECODE_ERRORS as error:
        raise exceptions.LogUnavailableError(
            f'the store sent an invalid page of records: {error!r:.200}'
        ) from error


def _iter_entries(
    entries: list, stream: str
) -> typing.Iterator[platform_base.KeyedRecord]:
    for entry in entries:
        key = entry['Key']
        try:
            if not isinstance(key, str):
                raise TypeError(f'{key!r:.50} is not a string')
            value = base64.b64decode(entry.get('Value') or '')
        except documents.DECODE_ERRORS as error:
            events.emit(
                'record_ignored',
                stream=stream,
                key=f'{key!r:.50}',
                reason=f'{error!r:.200}',
            )
        else:
            yield platform_base.KeyedRecord(key, value or None)


def _read_offset(document: typing.Any, name: str) -> ids.Offset:
    try:
        return _require_offset(document[name])
    except documents.DECODE_ERRORS as error:
        raise exceptions.LogUnavailableError(
            f'the store sent an answer without {name}: {error!r:.200}'
        ) from error


def _require_offset(value: typing.Any) -> ids.Offset:
    """Returns a position in a stream.

    Raises:
        TypeError: It is not an integer.
        ValueError: It is negative or too large.
    """
    offset = decimals.require_int(value)
    if offset < 0:
        raise ValueError(f'the offset {offset} is negative')
    return ids.Offset(offset)


def _decode_page(body: bytes, start: ids.Offset) -> platform_base.StorePage:
    try:
        end, oldest = PAGE_HEADER.unpack_from(body)
        position = PAGE_HEADER.size
        records = []
        offset = max(start, oldest)
        while position < len(body):
            (length,) = RECORD_LENGTH.unpack_from(body, position)
            position += RECORD_LENGTH.size
            record = body[position : position + length]
            if len(record) < length:
                raise exceptions.LogUnavailableError(
                    'the store sent an incomplete record'
                )
            records.append(platform_base.RawRecord(ids.Offset(offset), record))
            position += length
            offset += 1
    except struct.error as error:
        raise exceptions.LogUnavailableError(
            f'the store sent an incomplete page: {error}'
        ) from error
    return platform_base.StorePage(tuple(records), ids.Offset(end))


def decode_json(value: bytes) -> typing.Any:
    """Decodes a JSON value of a record.

    Raises:
        exceptions.UnreadableRecordError: The value is not valid JSON.
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise exceptions.UnreadableRecordError(
            f'value of {len(value)} bytes is not valid JSON: {error}'
        ) from error
