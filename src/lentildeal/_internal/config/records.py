"""Records of the log stream ``config`` and the state they fold to."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.network import wire

STREAM = 'config'


class Verdict(str, enum.Enum):
    """What became of an edit."""

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Edit:
    """A record that replaces the text in effect.

    Attributes:
        edit_id: Unique name that its publisher has chosen.
        base: Revision that the edit was made from.
        author: Who published it; for the history only.
        text: Whole new text.
    """

    edit_id: str
    base: ids.Revision
    author: str
    text: str

    def to_body(self) -> dict:
        """Makes the body of the log record."""
        return {'kind': 'edit', **dataclasses.asdict(self)}


@wire.message('config.state')
@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Text in effect after all records up to an offset.

    Attributes:
        revision: Revision in effect, -1 if there is none.
        folded_to: Last offset that the state takes into account.
        text: Raw text, empty without a revision.
    """

    revision: ids.Revision
    folded_to: ids.Offset
    text: str

    def to_body(self) -> dict:
        """Makes the body of a snapshot record."""
        return {'kind': 'snapshot', **dataclasses.asdict(self)}


@wire.message('config.fetch')
@dataclasses.dataclass(frozen=True)
class Fetch:
    """Asks a peer for its state; the answer is a ``ConfigState``."""


@dataclasses.dataclass(frozen=True)
class Judgement:
    """An edit of the log and its verdict.

    Attributes:
        offset: Offset of the record; its revision if it was accepted.
        edit_id: Name of the edit.
        base: Revision that the edit was made from.
        author: Who published it.
        verdict: What became of it.
    """

    offset: ids.Offset
    edit_id: str
    base: ids.Revision
    author: str
    verdict: Verdict


def parse_body(
    offset: ids.Offset, body: typing.Any
) -> typing.Union[Edit, ConfigState, None]:
    """Decodes a record; None for one that is malformed or of another kind.

    A malformed record has no effect, because anybody who can append to the
    log could write one and every instance has to fold on.
    """
    if not isinstance(body, dict):
        return None
    if body.get('kind') == 'edit':
        return _parse_edit(body)
    if body.get('kind') == 'snapshot':
        return _parse_snapshot(offset, body)
    return None


def _parse_edit(body: dict) -> typing.Optional[Edit]:
    edit_id, base = body.get('edit_id'), body.get('base')
    author, text = body.get('author', ''), body.get('text')
    is_valid = _is_offset(base) and all(
        isinstance(value, str) for value in (edit_id, author, text)
    )
    return Edit(edit_id, base, author, text) if is_valid else None


def _parse_snapshot(
    offset: ids.Offset, body: dict
) -> typing.Optional[ConfigState]:
    revision, folded_to = body.get('revision'), body.get('folded_to')
    text = body.get('text')
    is_valid = (
        _is_offset(revision)
        and _is_offset(folded_to)
        and isinstance(text, str)
        and 0 <= revision <= folded_to < offset
    )
    return ConfigState(revision, folded_to, text) if is_valid else None


def _is_offset(value: typing.Any) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and value >= ids.NO_REVISION
