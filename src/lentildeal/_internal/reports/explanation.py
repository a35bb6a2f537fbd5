"""Explains a request, job or item from the logs of several daemons.

Clocks of different daemons are not compared: lines of one daemon keep their
order, and daemons that ran a job one after the other are ordered by the term
of their lease, which is an offset in the work log.
"""

from __future__ import annotations

import dataclasses
import json
import typing

_ID_FIELDS = ('request', 'job', 'item')
_FIRST, _RUNNING, _LAST = 0, 1, 2
_STAGES = {'job_accepted': _FIRST, 'job_refused': _FIRST, 'job_ended': _LAST}


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One event line of a log.

    Attributes:
        instance: Daemon that wrote it.
        position: Number of the line in its log.
        fields: Fields of the line, including the event name.
    """

    instance: str
    position: int
    fields: dict[str, typing.Any]

    @property
    def event(self) -> str:
        """Name of the event."""
        return self.fields['event']


@dataclasses.dataclass(frozen=True)
class Explanation:
    """Log lines about an id, in order, and the cause of its outcome."""

    lines: tuple[LogLine, ...]
    cause: str


def read_lines(name: str, text: str) -> list[LogLine]:
    """Reads the event lines of one log and skips other lines.

    Args:
        name: Name of the log, used for lines without an instance.
        text: Content of the log; a line may have a prefix before its JSON
            object.
    """
    found = []
    for position, line in enumerate(text.splitlines()):
        start = line.find('{"')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and 'event' in fields:
            instance = str(fields.get('instance', name))
            found.append(LogLine(instance, position, fields))
    return found


def explain(wanted_id: str, lines: typing.Sequence[LogLine]) -> Explanation:
    """Selects and orders the lines about an id and finds the cause.

    Args:
        wanted_id: Id of a request, job or item.
        lines: Lines of all logs.
    """
    ids = _find_ids(wanted_id, lines)
    related = [line for line in lines if _is_about(line, ids)]
    job_ids = {line.fields.get('job') for line in related} - {None}
    job_lines = [
        line
        for line in lines
        if line.fields.get('job') in job_ids and 'item' not in line.fields
    ]
    found = {(line.instance, line.position): line for line in related}
    found.update({(line.instance, line.position): line for line in job_lines})
    ordered = _sort(list(found.values()))
    return Explanation(tuple(ordered), _find_cause(wanted_id, ids, ordered))


def _find_ids(
    wanted_id: str, lines: typing.Iterable[LogLine]
) -> frozenset[str]:
    """Returns the id, and those of the scoring requests of an item."""
    requests = {
        line.fields['request']
        for line in lines
        if line.event in ('scoring_started', 'scoring_given_up')
        and line.fields['item'] == wanted_id
    }
    return frozenset({wanted_id, *requests})


def _is_about(line: LogLine, ids: frozenset[str]) -> bool:
    return any(line.fields.get(field) in ids for field in _ID_FIELDS)


def _sort(lines: list[LogLine]) -> list[LogLine]:
    terms: dict[str, int] = {}
    keyed = []
    for line in sorted(lines, key=lambda line: (line.instance, line.position)):
        if 'term' in line.fields:
            terms[line.instance] = line.fields['term']
        stage = _STAGES.get(line.event, _RUNNING)
        term = terms.get(line.instance, -1) if stage == _RUNNING else 0
        keyed.append(((stage, term, line.instance, line.position), line))
    return [line for _, line in sorted(keyed, key=lambda pair: pair[0])]


def _find_cause(
    wanted_id: str, ids: frozenset[str], lines: list[LogLine]
) -> str:
    if not lines:
        return f'no line is about {wanted_id}'
    id_lines = [line for line in lines if _is_about(line, ids)]
    last = {line.event: line for line in id_lines}
    if 'call_failed' in last:
        return _explain_failed_call(last['call_failed'], id_lines)
    if 'call_answered' in last:
        return _explain_answered_call(last['call_answered'], id_lines)
    if any(line.fields.get('item') == wanted_id for line in id_lines):
        return _explain_item(wanted_id, id_lines, lines)
    if 'job_refused' in last and 'job_accepted' not in last:
        fields = last['job_refused'].fields
        return f'refused with {fields["status"]}: {fields["reason"]}'
    return _explain_job(id_lines)


def _list_failures(lines: typing.Iterable[LogLine]) -> list[str]:
    return [
        f'{line.event} at {line.fields.get("replica", "all replicas")}:'
        f' {line.fields.get("reason")}'
        for line in lines
        if line.event in ('attempt_failed', 'item_moved', 'scoring_given_up')
    ]


def _explain_failed_call(line: LogLine, id_lines: list[LogLine]) -> str:
    fields = line.fields
    text = (
        f'{line.instance} answered {fields["status"]} after'
        f' {fields["elapsed_ms"]} ms: {fields["reason"]}'
    )
    return '; '.join([text, *_list_failures(id_lines)])


def _explain_answered_call(line: LogLine, id_lines: list[LogLine]) -> str:
    fields = line.fields
    text = (
        f'{fields["replica"]} answered {fields["status"]}; attempt'
        f' {fields["attempts"]}, {fields["elapsed_ms"]} ms in all'
    )
    return '; '.join([text, *_list_failures(id_lines)])


def _explain_item(
    wanted_id: str, id_lines: list[LogLine], lines: list[LogLine]
) -> str:
    failures = _list_failures(id_lines)
    ended = [line for line in id_lines if line.event == 'item_ended']
    lost = [line for line in id_lines if line.event == 'item_lost']
    if lost:
        text = f'item was given up: {lost[-1].fields["reason"]}'
    elif ended:
        fields = ended[-1].fields
        text = (
            f'item ended as {fields["state"]} after {fields["attempts"]}'
            f' attempts and {fields["elapsed_ms"]} ms'
        )
    elif any(line.event == 'scoring_started' for line in id_lines):
        text = 'text of the item is complete and has no score in these logs'
    elif any(line.event == 'item_started' for line in id_lines):
        text = 'item started and has no result in these logs'
    elif any(line.event == 'job_opened' for line in lines):
        text = f'item {wanted_id} waited for a replica and never started'
    else:
        text = _explain_not_opened(lines) or (
            'no daemon opened the job of the item'
        )
    return '; '.join([text, *failures])


def _explain_not_opened(lines: list[LogLine]) -> str:
    """Names the last cause for which a job was not opened, "" for none."""
    found = [line for line in lines if line.event == 'job_not_opened']
    if not found:
        return ''
    fields = found[-1].fields
    return f'accepted and not opened, {fields["cause"]}: {fields["reason"]}'


def _explain_job(id_lines: list[LogLine]) -> str:
    opened = [line for line in id_lines if line.event == 'job_opened']
    if not opened:
        return _explain_not_opened(id_lines) or (
            'accepted, and no daemon opened it in these logs'
        )
    ended = {
        line.fields['item'] for line in id_lines if line.event == 'item_ended'
    }
    started = {
        line.fields['item']
        for line in id_lines
        if line.event == 'item_started'
    }
    parts = [
        f'run by {", ".join(line.instance for line in opened)}',
        f'{len(ended)} items ended, {len(started - ended)} started without'
        ' a result',
    ]
    slowest = max(
        (line for line in id_lines if line.event == 'item_ended'),
        key=lambda line: line.fields['elapsed_ms'],
        default=None,
    )
    if slowest is not None:
        item, elapsed = slowest.fields['item'], slowest.fields['elapsed_ms']
        parts.append(f'slowest item {item} took {elapsed} ms')
    return '; '.join([*parts, *_list_failures(id_lines)])
