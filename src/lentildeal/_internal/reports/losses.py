"""Lost and late work by cause, from the logs of several daemons."""

from __future__ import annotations

import collections
import dataclasses
import typing
import xml.sax.saxutils

from lentildeal._internal.reports import explanation

Rows = list[dict[str, typing.Any]]
Reader = typing.Callable[['explanation.LogLine'], typing.Optional['Loss']]

_readers: dict[str, Reader] = {}

# Layout of the plot, in pixels.
_LABEL_WIDTH = 220
_PLOT_WIDTH = 640
_ROW_HEIGHT = 44
_MARGIN = 24
# Intervals in the plot.
_BINS = 80


@dataclasses.dataclass(frozen=True)
class Loss:
    """One event that lost or delayed work.

    Attributes:
        cause: Cause, a row of the table.
        count: Requests, items or records concerned.
        seconds: Time lost, as far as one line tells it.
    """

    cause: str
    count: int = 1
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class DatedLoss:
    """A loss, the daemon that logged it, and when by its own clock."""

    loss: Loss
    instance: str
    at_s: float


def reads(event: str) -> typing.Callable[[Reader], Reader]:
    """Registers the function that reads the lines of an event."""

    def register(reader: Reader) -> Reader:
        _readers[event] = reader
        return reader

    return register


def find_losses(
    lines: typing.Iterable[explanation.LogLine],
) -> list[DatedLoss]:
    """Finds the losses in log lines, including dependencies that were away."""
    found = []
    away: dict[tuple[str, str], float] = {}
    for line in lines:
        at_s = float(line.fields.get('at_s', 0.0))
        reader = _readers.get(line.event)
        loss = reader(line) if reader is not None else None
        key = line.instance, str(line.fields.get('dependency'))
        if line.event == 'dependency_lost':
            away[key] = float(line.fields.get('steady_s', 0.0))
        elif line.event == 'dependency_regained' and key in away:
            seconds = float(line.fields.get('steady_s', 0.0)) - away.pop(key)
            loss = Loss(f'{key[1]} away', seconds=seconds)
        if loss is not None:
            found.append(DatedLoss(loss, line.instance, at_s))
    return found


def make_rows(losses: typing.Iterable[DatedLoss]) -> Rows:
    """Makes a row for each cause, the one with the most time lost first."""
    by_cause: dict[str, list[DatedLoss]] = collections.defaultdict(list)
    for dated in losses:
        by_cause[dated.loss.cause].append(dated)
    rows = [
        {
            'cause': cause,
            'count': sum(d.loss.count for d in found),
            'seconds': round(sum(d.loss.seconds for d in found), 1),
            'longest_s': round(max(d.loss.seconds for d in found), 1),
            'daemons': len({d.instance for d in found}),
        }
        for cause, found in by_cause.items()
    ]
    return sorted(rows, key=lambda r: (-r['seconds'], -r['count'], r['cause']))


def make_plot(losses: typing.Sequence[DatedLoss]) -> str:
    """Draws the losses of each cause over time as an SVG image.

    The times of daemons whose clocks differ are off by that difference.
    """
    rows = make_rows(losses)
    first_s = min((d.at_s for d in losses), default=0.0)
    last_s = max((d.at_s for d in losses), default=0.0)
    bin_s = max(0.1, (last_s - first_s) / _BINS)
    height = _ROW_HEIGHT * len(rows) + 2 * _MARGIN
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" font-size="12"'
        f' font-family="sans-serif" width="{_LABEL_WIDTH + _PLOT_WIDTH}"'
        f' height="{height}">'
    ]
    for number, row in enumerate(rows):
        counts = collections.Counter(
            int((d.at_s - first_s) / bin_s)
            for d in losses
            if d.loss.cause == row['cause']
        )
        parts.extend(_draw_row(number, row, counts))
    parts.append(
        f'<text x="{_LABEL_WIDTH}" y="{height - 6}">0 to'
        f' {last_s - first_s:.1f} s after the first loss</text></svg>'
    )
    return '\n'.join(parts)


def _draw_row(
    number: int, row: dict[str, typing.Any], counts: collections.Counter
) -> typing.Iterator[str]:
    base_y = _MARGIN + _ROW_HEIGHT * (number + 1) - 8
    label = xml.sax.saxutils.escape(f'{row["cause"]} ({row["count"]})')
    yield f'<text x="4" y="{base_y}">{label}</text>'
    width = _PLOT_WIDTH / (_BINS + 1)
    for position, count in sorted(counts.items()):
        size = (_ROW_HEIGHT - 14) * count / max(counts.values())
        yield (
            f'<rect x="{_LABEL_WIDTH + position * width:.1f}"'
            f' y="{base_y - size:.1f}" width="{width:.1f}"'
            f' height="{size:.1f}" fill="#4269d0"/>'
        )


def _elapsed_s(line: explanation.LogLine) -> float:
    return float(line.fields.get('elapsed_ms') or 0) / 1000


@reads('call_failed')
def _read_failed_call(line: explanation.LogLine) -> Loss:
    kind = 'refused' if line.fields.get('status') == 503 else 'failed'
    return Loss(f'live call {kind}', seconds=_elapsed_s(line))


@reads('job_refused')
def _read_refused_job(line: explanation.LogLine) -> Loss:
    return Loss('job refused', seconds=_elapsed_s(line))


@reads('attempt_failed')
def _read_failed_attempt(line: explanation.LogLine) -> Loss:
    # The rest of a reason names an address or an exception.
    reason = str(line.fields.get('reason', ''))
    for known in ('no connection', 'closed without', 'no response', 'status'):
        if known in reason:
            return Loss(f'attempt: {known}', seconds=_elapsed_s(line))
    return Loss('attempt: other', seconds=_elapsed_s(line))


@reads('item_moved')
def _read_moved_item(_: explanation.LogLine) -> Loss:
    return Loss('item moved')


@reads('item_ended')
def _read_ended_item(line: explanation.LogLine) -> typing.Optional[Loss]:
    if line.fields.get('state') != 'done':
        return Loss('item given up', seconds=_elapsed_s(line))
    if line.fields.get('attempts', 1) > 1:
        return Loss('item ran more than once')
    return None


@reads('scoring_given_up')
def _read_given_up_scoring(_: explanation.LogLine) -> Loss:
    return Loss('scoring given up')


@reads('append_retried')
def _read_retried_append(line: explanation.LogLine) -> Loss:
    return Loss('append retried', count=int(line.fields.get('records', 1)))


@reads('job_opened')
def _read_opened_job(line: explanation.LogLine) -> typing.Optional[Loss]:
    # Only a job that ran before has checkpoints.
    if not line.fields.get('resumed'):
        return None
    return Loss('job taken over')
