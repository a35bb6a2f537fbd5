"""Loads the items of a job from the text streams."""

from __future__ import annotations

import typing

from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import table
from lentildeal._internal.jobs import tasks
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs

if typing.TYPE_CHECKING:
    from lentildeal._internal.jobs import work_log as work_log_module

T = typing.TypeVar('T')

# A text that fails to be read with one of these can't be read later either.
LOST_ERRORS = (
    exceptions.LogTrimmedError,
    exceptions.RecordMissingError,
    exceptions.UnreadableRecordError,
)


# Items of a job, or why they are lost.
_Part = typing.Union[records.JobPart, exceptions.PlatformError]


class LostItem(typing.NamedTuple):
    """An item that can't be run, as its request can't be read.

    Attributes:
        index: Position of the item in the job.
        item_id: The item.
        reason: Why its request can't be read.
    """

    index: int
    item_id: ids.ItemId
    reason: str


class LoadedJob(typing.NamedTuple):
    """Items of a job that have no result."""

    tasks: list[tasks.ItemTask]
    lost: list[LostItem]


def load_item(
    work_log: work_log_module.WorkLog, entry: table.JobEntry, index: int
) -> jobs.Item:
    """Loads one item of a job.

    Raises:
        exceptions.PlatformError: The log did not respond, or the item can't
            be read; see ``LOST_ERRORS``.
    """
    first, location = entry.find_part(index)
    part = _load_part(work_log, location)
    return _get_item(part, entry, first, index)


def load_job(
    work_log: work_log_module.WorkLog,
    text: deployment.PublishedText,
    entry: table.JobEntry,
) -> LoadedJob:
    """Creates tasks for the items of a job that have no result.

    Raises:
        exceptions.PlatformError: The log did not respond.
    """
    loaded = LoadedJob([], [])
    parts = _load_parts(work_log, entry)
    numbers = [first for first, _ in entry.parts]
    ends = [*numbers[1:], entry.head.item_count]
    for first, end, part in zip(numbers, ends, parts, strict=True):
        for index in range(first, end):
            if entry.is_listed(index):
                continue
            try:
                item = _get_item(part, entry, first, index)
                task = _make_task(work_log, text, entry, index, item)
            except LOST_ERRORS as error:
                loaded.lost.append(make_lost(entry, index, error.message))
            except exceptions.PlatformError:
                raise
            except Exception as error:
                logger.opt(exception=error).error(
                    'item {} of job {} was not loaded',
                    entry.item_ids[index],
                    entry.head.job_id,
                )
                loaded.lost.append(
                    make_lost(entry, index, f'internal error: {error!r:.200}')
                )
            else:
                loaded.tasks.append(task)
    return loaded


def give_up_job(entry: table.JobEntry, reason: str) -> LoadedJob:
    """Marks all items of a job that have no result as lost."""
    lost = [
        make_lost(entry, index, reason)
        for index in range(entry.head.item_count)
        if not entry.is_listed(index)
    ]
    return LoadedJob([], lost)


def make_lost(entry: table.JobEntry, index: int, reason: str) -> LostItem:
    """Describes an item of a job that can't be run."""
    return LostItem(index, entry.item_ids[index], reason)


class TextPlace(typing.NamedTuple):
    """Where the text of an item is.

    Attributes:
        item_id: The item.
        location: Location of its text.
    """

    item_id: ids.ItemId
    location: records.RecordLocation


def load_events(
    work_log: work_log_module.WorkLog, place: TextPlace
) -> typing.Optional[records.EventTexts]:
    """Loads the text of an item, None if it can't be read any more.

    Raises:
        exceptions.PlatformError: The log did not respond.
    """
    location = place.location
    try:
        text = _load_payload(work_log, location, records.EventTexts)
        if not text.is_text_of(place.item_id):
            raise exceptions.UnreadableRecordError(
                f'text {location.offset} is of item {text.item_id!r:.50}'
            )
        return text
    except LOST_ERRORS as error:
        events.emit(
            'record_ignored',
            stream=location.stream,
            key=str(location.offset),
            reason=error.message,
        )
        return None


def load_all_events(
    work_log: work_log_module.WorkLog, places: typing.Sequence[TextPlace]
) -> list[typing.Optional[records.EventTexts]]:
    """Loads texts, None in place of those that can't be read any more.

    Raises:
        exceptions.PlatformError: The log did not respond.
    """
    try:
        found = work_log.read_texts([place.location for place in places])
    except LOST_ERRORS:
        found = []
    if len(found) == len(places) and all(
        isinstance(text, records.EventTexts) and text.is_text_of(place.item_id)
        for text, place in zip(found, places, strict=True)
    ):
        return found
    return [load_events(work_log, place) for place in places]


def _load_parts(
    work_log: work_log_module.WorkLog, entry: table.JobEntry
) -> list[_Part]:
    """Loads the parts of a job, an error in place of those that are lost."""
    locations = [location for _, location in entry.parts]
    try:
        found = work_log.read_texts(locations)
    except LOST_ERRORS:
        found = [None]
    if all(isinstance(part, records.JobPart) for part in found):
        return found
    parts: list[_Part] = []
    for location in locations:
        try:
            parts.append(_load_part(work_log, location))
        except LOST_ERRORS as error:
            parts.append(error)
    return parts


def _load_part(
    work_log: work_log_module.WorkLog, location: records.RecordLocation
) -> records.JobPart:
    return _load_payload(work_log, location, records.JobPart)


def _load_payload(
    work_log: work_log_module.WorkLog,
    location: records.RecordLocation,
    cls: type[T],
) -> T:
    (payload,) = work_log.read_texts([location])
    if not isinstance(payload, cls):
        raise exceptions.UnreadableRecordError(
            f'text {location.offset} of {location.stream} is of the type'
            f' {type(payload).__name__}'
        )
    return payload


def _get_item(
    part: _Part, entry: table.JobEntry, first: int, index: int
) -> jobs.Item:
    """Returns an item of a part of a job.

    Args:
        part: The part.
        entry: The job.
        first: Index of the first item of the part.
        index: Index of the item.

    Raises:
        exceptions.PlatformError: The part or the item can't be read; one of
            ``LOST_ERRORS``.
    """
    if isinstance(part, exceptions.PlatformError):
        raise part
    item = part.get_item(index - first)
    if item.item_id != entry.item_ids[index]:
        raise exceptions.UnreadableRecordError(
            f'item {index} of job {entry.head.job_id} has the id'
            f' {item.item_id!r:.50}'
        )
    return item


def _make_task(
    work_log: work_log_module.WorkLog,
    text: deployment.PublishedText,
    entry: table.JobEntry,
    index: int,
    item: jobs.Item,
) -> tasks.ItemTask:
    is_resubmitted = work_log.table.is_resubmitted(
        item.item_id, entry.head.job_id
    )
    saved = entry.checkpoints.get(index)
    if saved is None and is_resubmitted:
        saved = work_log.table.find_checkpoint(item.item_id)
    task = tasks.ItemTask(
        entry,
        index,
        item,
        jobs.Progress(),
        expected_events=item.expected_tokens
        / _tokens_per_event(text, entry, item),
        is_resubmitted=is_resubmitted,
    )
    if saved is not None:
        progress = _load_progress(work_log, item.item_id, saved)
        route = text.find_route(entry.head.host, item.path)
        is_single = route is not None and route.is_single_version
        if task.is_valid(progress, is_single):
            task.progress = progress
            task.saved_events = len(progress.events)
            task.is_generated = saved.is_complete and bool(progress.events)
    return task


def _load_progress(
    work_log: work_log_module.WorkLog,
    item_id: ids.ItemId,
    saved: table.SavedProgress,
) -> jobs.Progress:
    text = load_events(work_log, TextPlace(item_id, saved.location))
    if text is None:
        # The item starts again.
        return jobs.Progress()
    return jobs.Progress(text.events, saved.last_event_id, saved.versions)


def _tokens_per_event(
    text: deployment.PublishedText,
    entry: table.JobEntry,
    item: jobs.Item,
) -> int:
    route = text.find_route(entry.head.host, item.path)
    if route is None or not route.shares:
        return 1
    service = text.services.get(route.shares[0].service)
    return service.tokens_per_event if service is not None else 1
