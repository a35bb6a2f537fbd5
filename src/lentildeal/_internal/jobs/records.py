"""Records of the work log and their encoding in msgpack."""

from __future__ import annotations

import dataclasses
import typing

import msgpack

from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs

# Head of a job's part, msgpack overhead and field names, in bytes.
PART_OVERHEAD_BYTES = 2048

_KINDS: dict[int, type] = {}
_NUMBERS: dict[type, int] = {}


def record(number: int) -> typing.Callable[[type], type]:
    """Registers a record class under the number that is stored."""

    def add(cls: type) -> type:
        _KINDS[number] = cls
        _NUMBERS[cls] = number
        return cls

    return add


@record(1)
@dataclasses.dataclass(frozen=True)
class JobPart:
    """Some items of a job; the parts of a job are one append.

    Attributes:
        head: Fields of ``jobs.JobHead``.
        first: Number of the first item in this part.
        items: Fields of ``jobs.Item``, an entry each.
    """

    head: tuple
    first: int
    items: tuple

    @property
    def job_head(self) -> jobs.JobHead:
        """The job without its items."""
        return jobs.JobHead(*self.head)

    def iter_items(self) -> typing.Iterator[jobs.Item]:
        """Items of this part."""
        return (jobs.Item(*fields) for fields in self.items)


@record(2)
@dataclasses.dataclass(frozen=True)
class ItemResult:
    """The end of an item."""

    job_id: ids.JobId
    index: int
    state: str
    versions: tuple[int, ...]
    text: str


@record(3)
@dataclasses.dataclass(frozen=True)
class JobEnd:
    """A trainer has ended a job."""

    job_id: ids.JobId


@record(4)
@dataclasses.dataclass(frozen=True)
class Checkpoint:
    """Text of an item that is not complete."""

    job_id: ids.JobId
    index: int
    versions: tuple[int, ...]
    last_event_id: str
    events: tuple[str, ...]


@record(5)
@dataclasses.dataclass(frozen=True)
class Claim:
    """A daemon takes a duty over.

    Attributes:
        duty: Name of the duty.
        previous_term: Term that the claim replaces, -1 for none.
        previous_renewals: Renewals of that term that the claimant has seen.
        holder: Instance that claims.
        incarnation: Start of the instance.
    """

    duty: ids.DutyName
    previous_term: ids.Term
    previous_renewals: int
    holder: ids.InstanceId
    incarnation: int


@record(6)
@dataclasses.dataclass(frozen=True)
class Renewal:
    """A holder keeps its duties: pairs of duty and term."""

    duties: tuple[tuple[ids.DutyName, ids.Term], ...]


@record(7)
@dataclasses.dataclass(frozen=True)
class Resignation:
    """A holder gives a duty back."""

    duty: ids.DutyName
    term: ids.Term


@record(8)
@dataclasses.dataclass(frozen=True)
class VersionLoaded:
    """A replica has confirmed a version."""

    replica_id: ids.ReplicaId
    model: ids.ModelName
    version: ids.Version


Record = typing.Union[
    JobPart,
    ItemResult,
    JobEnd,
    Checkpoint,
    Claim,
    Renewal,
    Resignation,
    VersionLoaded,
]


def encode(value: Record) -> bytes:
    """Encodes a record."""
    fields = [
        getattr(value, field.name) for field in dataclasses.fields(value)
    ]
    return msgpack.packb([_NUMBERS[type(value)], *fields])


def decode(body: bytes) -> Record:
    """Decodes a record.

    Raises:
        exceptions.UnreadableRecordError: No release wrote it like that.
    """
    try:
        number, *fields = msgpack.unpackb(body, use_list=False)
        return _KINDS[number](*fields)
    except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
        raise exceptions.UnreadableRecordError(
            f'record of {len(body)} bytes in the work log: {error}'
        ) from error


def split_job(job: jobs.Job, record_bytes: int) -> list[JobPart]:
    """Splits a job into records of at most a size.

    Raises:
        exceptions.BadRequestError: An item alone is too large.
    """
    limit = record_bytes - PART_OVERHEAD_BYTES
    head = dataclasses.astuple(job.head)
    parts: list[JobPart] = []
    first, size, batch = 0, 0, []
    for index, item in enumerate(job.items):
        fields = dataclasses.astuple(item)
        item_bytes = len(msgpack.packb(fields))
        if item_bytes > limit:
            raise exceptions.BadRequestError(
                f'item {item.item_id} has {item_bytes} bytes,'
                f' {limit} are allowed',
                remedy='send a smaller body',
            )
        if batch and size + item_bytes > limit:
            parts.append(JobPart(head, first, tuple(batch)))
            first, size, batch = index, 0, []
        batch.append(fields)
        size += item_bytes
    parts.append(JobPart(head, first, tuple(batch)))
    return parts
