"""Records of the log stream ``config`` and the state derived from them."""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.network import wire

STREAM = 'config'


class EditOutcome(str, enum.Enum):
    """Outcome of an edit, written out as its verdict.

    ``UNKNOWN`` means that the edit has not been read from the log, or that
    records needed to decide it were dropped.
    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Edit:
    """A record that replaces the text in effect.

    Attributes:
        edit_id: Unique identifier, set by the publisher.
        base: Revision that the edit was made from.
        author: Who published it; used only for the history.
        text: Complete new text.
    """

    edit_id: str
    base: ids.Revision
    author: str
    text: str

    def to_body(self) -> dict:
        """Returns the body of the log record."""
        return {'kind': 'edit', **dataclasses.asdict(self)}


@wire.message('config.state')
@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Text in effect after all records up to an offset.

    Attributes:
        revision: Revision in effect, -1 if there is none.
        folded_to: Offset of the last record that was applied to the state.
        text: Raw text, empty without a revision.
    """

    revision: ids.Revision
    folded_to: ids.Offset
    text: str

    def to_body(self) -> dict:
        """Returns the body of a snapshot record."""
        return {'kind': 'snapshot', **dataclasses.asdict(self)}


@wire.message('config.fetch')
@dataclasses.dataclass(frozen=True)
class Fetch:
    """Requests the state of a peer; the response is a ``ConfigState``."""


@dataclasses.dataclass(frozen=True)
class HistoryEntry:
    """An edit that was read from the log, and its outcome.

    Attributes:
        offset: Offset of the record; also the revision of an accepted edit.
        edit_id: Identifier of the edit.
        base: Revision that the edit was made from.
        author: Who published it.
        outcome: Whether it was accepted, and if not, why.
    """

    offset: ids.Offset
    edit_id: str
    base: ids.Revision
    author: str
    outcome: EditOutcome


def parse_body(
    offset: ids.Offset, body: typing.Any
) -> typing.Union[Edit, ConfigState, None]:
    """Decodes a record; returns None if it is malformed or of another kind.

    A malformed record is ignored instead of raising an error: any client with
    access to the log can append one, and every instance must be able to apply
    the records after it.
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
