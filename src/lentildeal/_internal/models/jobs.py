"""Batch jobs, their items and results."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class ResultState(str, enum.Enum):
    """How an item ended."""

    DONE = 'done'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True)
class Item:
    """One request of a job.

    Attributes:
        item_id: Identifier, the same when the item comes again in a later
            job.
        group: Group of the item; groups are delivered whole.
        path: Path and query of the request.
        headers: Headers to send unchanged.
        body: Body of the request.
        expected_tokens: Estimate of the tokens to generate.
    """

    item_id: ids.ItemId
    group: ids.GroupId
    path: str
    headers: dict[str, str]
    body: bytes
    expected_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class JobHead:
    """A job without its items.

    Attributes:
        job_id: Identifier that the trainer chose.
        host: Host of the job's route.
        path: Path that the job was submitted to.
        model: Model that generates.
        step: Number of the trainer's step.
        min_version: Oldest version that may generate.
        wanted_groups: Whole groups that the trainer waits for.
        submitted_ms: Unix time of the submission, in milliseconds.
        item_count: Number of items.
    """

    job_id: ids.JobId
    host: str
    path: str
    model: ids.ModelName
    step: int
    min_version: ids.Version
    wanted_groups: int
    submitted_ms: int
    item_count: int


@dataclasses.dataclass(frozen=True)
class Job:
    """A job with its items."""

    head: JobHead
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Progress:
    """Text of an item up to an event.

    Attributes:
        events: Data of the events, in order.
        last_event_id: Identifier of the last event, None without one.
        versions: Versions that generated them, ascending.
    """

    events: tuple[str, ...] = ()
    last_event_id: typing.Optional[str] = None
    versions: tuple[int, ...] = ()

    @property
    def text(self) -> str:
        """Data of all events, separated by line feeds."""
        return '\n'.join(self.events)


@dataclasses.dataclass(frozen=True)
class Result:
    """The end of one item."""

    item_id: ids.ItemId
    state: ResultState
    text: str
    versions: tuple[int, ...]
