"""Batch jobs, their items and results."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids


class ResultState(str, enum.Enum):
    """Final state of an item."""

    DONE = 'done'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True)
class ScoringRequest:
    """Request whose answer scores the complete text of an item.

    Attributes:
        request_id: Identifier assigned by the trainer.
        host: Host of the request's route.
        path: Path and query of the request.
        body: Body of the request.
    """

    request_id: str
    host: str
    path: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class Item:
    """One request of a job.

    Attributes:
        item_id: Identifier; the same if a later job submits the item again.
        group: Group of the item; results are delivered by complete group.
        path: Path and query of the request.
        headers: Headers that are forwarded unchanged.
        body: Body of the request.
        expected_tokens: Estimated number of tokens to generate.
        scoring: Request that scores the text, None for an item without a
            score.
    """

    item_id: ids.ItemId
    group: ids.GroupId
    path: str
    headers: dict[str, str]
    body: bytes
    expected_tokens: int = 0
    scoring: typing.Optional[ScoringRequest] = None


@dataclasses.dataclass(frozen=True)
class JobHead:
    """A job without its items.

    Attributes:
        job_id: Identifier assigned by the trainer.
        host: Host of the job's route.
        path: Path that the job was submitted to.
        model: Model that generates.
        step: Number of the trainer's step.
        min_version: Oldest model version that may generate items.
        required_groups: Complete groups that the trainer waits for.
        submitted_ms: Unix time of the submission, in milliseconds.
        item_count: Number of items.
        account: Client account that submitted it, None without one.
    """

    job_id: ids.JobId
    host: str
    path: str
    model: ids.ModelName
    step: int
    min_version: ids.Version
    required_groups: int
    submitted_ms: int
    item_count: int
    account: typing.Optional[ids.AccountName] = None


@dataclasses.dataclass(frozen=True)
class Job:
    """A job with its items."""

    head: JobHead
    items: tuple[Item, ...]


@dataclasses.dataclass(frozen=True)
class Progress:
    """Text generated for an item so far.

    Attributes:
        events: Data of the events, in order.
        last_event_id: Identifier of the last event; None if it had none.
        versions: Versions that generated the events, ascending.
    """

    events: tuple[str, ...] = ()
    last_event_id: typing.Optional[str] = None
    versions: tuple[int, ...] = ()

    @property
    def text(self) -> str:
        """Data of all events, joined by line feeds."""
        return '\n'.join(self.events)


@dataclasses.dataclass(frozen=True)
class Result:
    """Final result of one item.

    Attributes:
        item_id: The item.
        state: Whether the text is complete.
        text: Text of a complete item.
        versions: Versions that generated the text, ascending.
        score: Signature of the answer that scored the text, empty without one.
    """

    item_id: ids.ItemId
    state: ResultState
    text: str
    versions: tuple[int, ...]
    score: str = ''
