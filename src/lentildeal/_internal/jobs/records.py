"""Records of the work log and of the text streams, encoded in msgpack.

Every daemon reads the complete work log, so its records are small. Bodies and
texts are stored in separate streams and are read by offset on demand.
"""

from __future__ import annotations

import dataclasses
import typing

import msgpack

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import record_fields
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import hashing

WORK_STREAM = 'lentildeal.work'
# The throughput of a stream is about 2.5 MB/s, so the texts of all jobs are
# spread over several streams.
TEXT_STREAMS = 4
# Upper bound of the overhead of a job part: its header, the msgpack encoding
# and field names.
PART_OVERHEAD_BYTES = 2048
# Length prefix of a record in an append.
LENGTH_BYTES = 4

_CLASSES: dict[int, type] = {}
_NUMBERS: dict[type, int] = {}

_SCORING_FIELD = [f.name for f in dataclasses.fields(jobs.Item)].index(
    'scoring'
)


class RecordLocation(typing.NamedTuple):
    """Location of a text in a text stream.

    Attributes:
        stream: The stream.
        offset: Offset of its first record.
        size_bytes: Size of the encoded text.
        record_count: Number of consecutive records that hold it.
    """

    stream: str
    offset: ids.Offset
    size_bytes: int
    record_count: int = 1

    @property
    def end(self) -> ids.Offset:
        """Offset after its last record."""
        return ids.Offset(self.offset + self.record_count)


def text_stream_name(job_id: ids.JobId) -> str:
    """Name of the stream that holds the texts of a job."""
    return f'lentildeal.texts.{hashing.hash_text(job_id) % TEXT_STREAMS}'


def register_record(number: int) -> typing.Callable[[type], type]:
    """Registers a record class under its stored type number."""

    def add(cls: type) -> type:
        _CLASSES[number] = cls
        _NUMBERS[cls] = number
        return cls

    return add


def encode_head(head: jobs.JobHead) -> tuple:
    """Encodes the head of a job, as older releases do without an account."""
    fields = dataclasses.astuple(head)
    return fields if head.account is not None else fields[:-1]


@register_record(1)
@dataclasses.dataclass(frozen=True)
class JobAccepted:
    """Acceptance of a job whose items are in a text stream.

    Attributes:
        head: Fields of ``jobs.JobHead``.
        item_ids: Identifiers of the items, in order.
        parts: Index of the first item, offset and size of each part.
    """

    head: tuple
    item_ids: tuple[ids.ItemId, ...]
    parts: tuple[tuple[int, int, int], ...]

    @property
    def job_head(self) -> jobs.JobHead:
        """The job without its items.

        Raises:
            exceptions.UnreadableRecordError: The fields are not those of a
                job, or do not fit together.
        """
        head = record_fields.read_fields(jobs.JobHead, self.head)
        if head.item_count != len(self.item_ids):
            raise exceptions.UnreadableRecordError(
                f'job {head.job_id} of {head.item_count} items has'
                f' {len(self.item_ids)} item ids'
            )
        if not self.parts or self.parts[0][0] != 0:
            raise exceptions.UnreadableRecordError(
                f'job {head.job_id} lacks the location of its first item'
            )
        return head


@register_record(2)
@dataclasses.dataclass(frozen=True)
class ItemResult:
    """Result of an item, with offset and size of its text if any.

    Attributes:
        job_id: Job of the item.
        index: Position of the item in the job.
        state: Value of ``jobs.ResultState``.
        versions: Versions that generated the text.
        offset: Offset of the text, -1 without one.
        size_bytes: Size of the encoded text.
        score: Signature of the answer that scored the text, empty without one.
        record_count: Number of records that hold the text.
    """

    job_id: ids.JobId
    index: int
    state: str
    versions: tuple[int, ...]
    offset: int = -1
    size_bytes: int = 0
    score: str = ''
    record_count: int = 1


@register_record(3)
@dataclasses.dataclass(frozen=True)
class JobEnd:
    """A trainer has ended a job."""

    job_id: ids.JobId


@register_record(4)
@dataclasses.dataclass(frozen=True)
class Checkpoint:
    """Progress of an item without a result, with the location of its text.

    Attributes:
        job_id: Job of the item.
        index: Position of the item in the job.
        versions: Versions that generated the text.
        event_count: Number of events of the text.
        last_event_id: Identifier of the last event.
        offset: Offset of the text.
        size_bytes: Size of the encoded text.
        is_complete: Whether the text is complete and only lacks its score.
        record_count: Number of records that hold the text.
    """

    job_id: ids.JobId
    index: int
    versions: tuple[int, ...]
    event_count: int
    last_event_id: str
    offset: int = -1
    size_bytes: int = 0
    is_complete: bool = False
    record_count: int = 1


@register_record(5)
@dataclasses.dataclass(frozen=True)
class Claim:
    """Claim of a lease by a daemon.

    Attributes:
        lease_name: Name of the lease.
        previous_term: Term that the claim replaces, -1 for none.
        previous_renewals: Number of renewals of that term that the
            claimant has read.
        holder: Instance that claims the lease.
        incarnation: Identifies the process of the instance.
    """

    lease_name: ids.LeaseName
    previous_term: ids.Term
    previous_renewals: int
    holder: ids.InstanceId
    incarnation: int


@register_record(6)
@dataclasses.dataclass(frozen=True)
class Renewal:
    """Renewal of a holder's leases: pairs of lease name and term."""

    leases: tuple[tuple[ids.LeaseName, ids.Term], ...]


@register_record(7)
@dataclasses.dataclass(frozen=True)
class Resignation:
    """Resignation of a holder from a lease."""

    lease_name: ids.LeaseName
    term: ids.Term


@register_record(8)
@dataclasses.dataclass(frozen=True)
class VersionLoaded:
    """Confirmation by a replica that it has loaded a version."""

    replica_id: ids.ReplicaId
    model: ids.ModelName
    version: ids.Version


@register_record(9)
@dataclasses.dataclass(frozen=True)
class RateLimitNamed:
    """A replica named another request limit in an answer.

    Attributes:
        incarnation: Process of the daemon that got the answer.
        replica_id: Replica.
        rate: Requests a second that it accepts from all daemons together,
            None without a limit.
    """

    incarnation: ids.Incarnation
    replica_id: ids.ReplicaId
    rate: typing.Optional[float]


@register_record(10)
@dataclasses.dataclass(frozen=True)
class RequestsSent:
    """Requests of a daemon to limited replicas, without its turns.

    Attributes:
        incarnation: Process of the daemon.
        totals: Pairs of replica and number of requests since its start.
    """

    incarnation: ids.Incarnation
    totals: tuple[tuple[ids.ReplicaId, int], ...]


@register_record(11)
@dataclasses.dataclass(frozen=True)
class RequestTurn:
    """A live request that a daemon will send to a limited replica.

    Attributes:
        incarnation: Process of the daemon.
        replica_id: Replica.
        number: Number of the request at this daemon.
    """

    incarnation: ids.Incarnation
    replica_id: ids.ReplicaId
    number: int


@register_record(12)
@dataclasses.dataclass(frozen=True)
class JobText:
    """Published text under which a job was accepted.

    It precedes the record of the job in the same append. It is not a field of
    that record because older releases do not read records with more fields.

    Attributes:
        job_id: The job.
        text_version: Version of the text.
    """

    job_id: ids.JobId
    text_version: int


@register_record(13)
@dataclasses.dataclass(frozen=True)
class ClaimBasis:
    """What the claimant of the claims that follow in the append has read.

    It is not a field of the claims because older releases do not read claims
    with more fields.

    Attributes:
        read_until: Offset of the last record about leases that it has read.
    """

    read_until: ids.Offset


@register_record(20)
@dataclasses.dataclass(frozen=True)
class JobRenewal:
    """All that the log holds of an open job, before its records expire.

    It takes effect only if no result and no end of the job lies between the
    records that the renewing daemon had read and this one. A daemon that
    starts later would otherwise miss these.

    Attributes:
        read_until: Offset of the last record that the renewing daemon had
            read.
        text_version: Version of the published text of the acceptance.
        head: See ``JobAccepted``.
        item_ids: See ``JobAccepted``.
        parts: See ``JobAccepted``; the new offsets of the parts.
        results: Fields of ``ItemResult`` without the job, in order of their
            positions.
    """

    read_until: ids.Offset
    text_version: int
    head: tuple
    item_ids: tuple[ids.ItemId, ...]
    parts: tuple[tuple[int, int, int], ...]
    results: tuple[tuple, ...]

    @property
    def accepted(self) -> JobAccepted:
        """Acceptance of the job."""
        return JobAccepted(self.head, self.item_ids, self.parts)

    @property
    def job_id(self) -> ids.JobId:
        """The job."""
        return self.accepted.job_head.job_id

    def iter_results(self) -> typing.Iterator[ItemResult]:
        """Yields the results in order of their positions."""
        return (
            record_fields.read_fields(ItemResult, (self.job_id, *fields))
            for fields in self.results
        )


@register_record(21)
@dataclasses.dataclass(frozen=True)
class RenewedResults:
    """Some results of a job whose renewal does not fit into one record.

    Attributes:
        job_id: The job.
        read_until: See ``JobRenewal``.
        results: See ``JobRenewal``.
    """

    job_id: ids.JobId
    read_until: ids.Offset
    results: tuple[tuple, ...]


@register_record(22)
@dataclasses.dataclass(frozen=True)
class LargeJobRenewal:
    """A renewal whose results are in the records before it in its append.

    It is of another type than ``JobRenewal`` because older releases would
    take it for the renewal of a job without results.

    Attributes:
        result_count: Number of results in these records.
        renewal: Fields of a ``JobRenewal`` without results.
    """

    result_count: int
    renewal: tuple

    def join(self, found: typing.Sequence[RenewedResults]) -> JobRenewal:
        """Makes the whole renewal.

        Args:
            found: The records before it, in order.

        Raises:
            exceptions.UnreadableRecordError: They are not its results.
        """
        renewal = record_fields.read_fields(JobRenewal, self.renewal)
        key = renewal.job_id, renewal.read_until
        results = tuple(
            fields
            for part in found
            if (part.job_id, part.read_until) == key
            for fields in part.results
        )
        if len(results) != self.result_count:
            raise exceptions.UnreadableRecordError(
                f'a renewal of job {renewal.job_id} has {len(results)} of'
                f' {self.result_count} results'
            )
        return dataclasses.replace(renewal, results=results)


# Records of the text streams.
@register_record(16)
@dataclasses.dataclass(frozen=True)
class JobPart:
    """Some items of a job, each as a tuple of ``jobs.Item`` fields."""

    items: tuple

    def get_item(self, position: int) -> jobs.Item:
        """Returns the item at a position of this part.

        Raises:
            exceptions.UnreadableRecordError: There is no such item, or its
                fields are not those of an item.
        """
        if not 0 <= position < len(self.items):
            raise exceptions.UnreadableRecordError(
                f'a part of {len(self.items)} items has no item {position}'
            )
        return _decode_item(self.items[position])

    def iter_items(self) -> typing.Iterator[jobs.Item]:
        """Iterates over the items of this part."""
        return map(_decode_item, self.items)


@register_record(17)
@dataclasses.dataclass(frozen=True)
class EventTexts:
    """Data of the events of an item, in order.

    Attributes:
        events: The data of each event.
        item_id: The item, empty in records of older releases.
    """

    events: tuple[str, ...]
    item_id: str = ''

    @property
    def text(self) -> str:
        """Data of all events, separated by line feeds."""
        return '\n'.join(self.events)

    def is_text_of(self, item_id: ids.ItemId) -> bool:
        """Whether this can be the text of an item."""
        return self.item_id in ('', item_id)


# Records of calls to the platform that one daemon at a time makes.
@register_record(18)
@dataclasses.dataclass(frozen=True)
class UsageCounts:
    """Requests that replicas began, counted by one daemon; they add up.

    Attributes:
        incarnation: Process of the daemon.
        sequence: Number of the record at this process, from 1 on.
        complete_until: Window before which all counts of this daemon are in
            this record and earlier ones.
        counts: Window, account and number of requests.
    """

    incarnation: ids.Incarnation
    sequence: int
    complete_until: int
    counts: tuple[tuple[int, ids.AccountName, int], ...]


@register_record(19)
@dataclasses.dataclass(frozen=True)
class DutyCallPlanned:
    """A call as it will be sent by the holder of a duty.

    Attributes:
        duty: Lease under which it is sent.
        subject: What the call is about, such as a window.
        values: Names and numbers that are sent.
        confirmed: Subjects of earlier calls that were answered.
    """

    duty: ids.LeaseName
    subject: str
    values: tuple[tuple[str, int], ...]
    confirmed: tuple[str, ...] = ()


Record = typing.Union[
    JobAccepted,
    ItemResult,
    JobEnd,
    Checkpoint,
    Claim,
    Renewal,
    Resignation,
    VersionLoaded,
    RateLimitNamed,
    RequestsSent,
    RequestTurn,
    JobText,
    ClaimBasis,
    JobRenewal,
    RenewedResults,
    LargeJobRenewal,
    UsageCounts,
    DutyCallPlanned,
]
Payload = typing.Union[JobPart, EventTexts]


def encode(value: typing.Union[Record, Payload]) -> bytes:
    """Encodes a record.

    Trailing fields with their default value are left out, so that a release
    that does not know a new field can read the records that don't use it.
    """
    fields = [
        getattr(value, field.name) for field in dataclasses.fields(value)
    ]
    for field in reversed(dataclasses.fields(value)):
        if field.default is dataclasses.MISSING or fields[-1] != field.default:
            break
        fields.pop()
    return msgpack.packb(
        [_NUMBERS[type(value)], *fields], unicode_errors='surrogateescape'
    )


def split_body(body: bytes, record_bytes: int) -> list[bytes]:
    """Splits an encoded text into records of a limited size."""
    return [
        body[start : start + record_bytes]
        for start in range(0, len(body), record_bytes)
    ]


def decode(body: bytes) -> typing.Any:
    """Decodes a record.

    Raises:
        exceptions.UnknownRecordTypeError: A newer release may have written
            the record.
        exceptions.UnreadableRecordError: The bytes are not a record.
    """
    try:
        number, *fields = msgpack.unpackb(
            body, use_list=False, unicode_errors='surrogateescape'
        )
        cls = _CLASSES.get(number)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise exceptions.UnreadableRecordError(
            f'cannot decode record of {len(body)} bytes: {error}'
        ) from error
    if cls is None:
        raise exceptions.UnknownRecordTypeError(
            f'records of type {number!r:.50} are not known to this release'
        )
    return record_fields.read_fields(cls, fields)


def split_calls(
    texts: typing.Iterable[Payload], call_bytes: int
) -> typing.Iterator[list[Payload]]:
    """Splits texts into batches that fit into one append each.

    Args:
        texts: Texts of one record each.
        call_bytes: Maximum size of the records of an append.
    """
    batch: list[Payload] = []
    size_bytes = 0
    for text in texts:
        text_bytes = len(encode(text)) + LENGTH_BYTES
        if batch and size_bytes + text_bytes > call_bytes:
            yield batch
            batch, size_bytes = [], 0
        batch.append(text)
        size_bytes += text_bytes
    if batch:
        yield batch


def split_renewal(
    renewal: JobRenewal, record_bytes: int
) -> list[typing.Union[JobRenewal, RenewedResults, LargeJobRenewal]]:
    """Splits a renewal into records that have to be in one append.

    Args:
        renewal: The renewal.
        record_bytes: Maximum size of a record.
    """
    if len(encode(renewal)) <= record_bytes:
        return [renewal]
    found: list[typing.Any] = []
    limit = record_bytes - PART_OVERHEAD_BYTES
    batch: list[tuple] = []
    size_bytes = 0
    for fields in renewal.results:
        result_bytes = len(msgpack.packb(fields))
        if batch and size_bytes + result_bytes > limit:
            found.append(
                RenewedResults(
                    renewal.job_id, renewal.read_until, tuple(batch)
                )
            )
            batch, size_bytes = [], 0
        batch.append(fields)
        size_bytes += result_bytes
    found.append(
        RenewedResults(renewal.job_id, renewal.read_until, tuple(batch))
    )
    head = dataclasses.replace(renewal, results=())
    # Not ``astuple``, which copies each part.
    fields = tuple(getattr(head, f.name) for f in dataclasses.fields(head))
    found.append(LargeJobRenewal(len(renewal.results), fields))
    return found


def _encode_item(item: jobs.Item) -> tuple:
    fields = dataclasses.astuple(item)
    # Older releases do not know this field.
    return fields if item.scoring is not None else fields[:-1]


def _decode_item(fields: tuple) -> jobs.Item:
    values = list(fields) if isinstance(fields, tuple) else []
    if len(values) > _SCORING_FIELD and values[_SCORING_FIELD] is not None:
        values[_SCORING_FIELD] = record_fields.read_fields(
            jobs.ScoringRequest, values[_SCORING_FIELD]
        )
    return record_fields.read_fields(jobs.Item, values)


def split_items(
    items: typing.Iterable[jobs.Item], record_bytes: int
) -> list[tuple[int, JobPart]]:
    """Splits items into records of a limited size.

    Args:
        items: Items of a job.
        record_bytes: Maximum size of a record.

    Returns:
        Index of the first item of each part, and the part.

    Raises:
        exceptions.BadRequestError: A single item exceeds the limit.
    """
    limit = record_bytes - PART_OVERHEAD_BYTES
    parts: list[tuple[int, JobPart]] = []
    first, size_bytes = 0, 0
    batch: list[tuple] = []
    for index, item in enumerate(items):
        fields = _encode_item(item)
        item_bytes = len(msgpack.packb(fields))
        if item_bytes > limit:
            raise exceptions.BadRequestError(
                f'item {item.item_id} has {item_bytes} bytes,'
                f' {limit} are allowed',
                remedy='send a smaller body',
            )
        if batch and size_bytes + item_bytes > limit:
            parts.append((first, JobPart(tuple(batch))))
            first, size_bytes, batch = index, 0, []
        batch.append(fields)
        size_bytes += item_bytes
    parts.append((first, JobPart(tuple(batch))))
    return parts
