"""Structural comparison of two parsed texts."""

from __future__ import annotations

import dataclasses
import enum
import json
import typing

from lentildeal._internal.config import jsonc


class ChangeKind(str, enum.Enum):
    """What happened to a value."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference.

    Attributes:
        path: Dotted path of the value.
        kind: What happened to it.
        old: Value before, None if it was added.
        new: Value after, None if it was removed.
    """

    path: str
    kind: ChangeKind
    old: typing.Any = None
    new: typing.Any = None


def compare(
    old: typing.Any, new: typing.Any, path: jsonc.Path = ()
) -> list[Change]:
    """Compares two JSON values without regard to order.

    Arrays are compared as sets of their items, since the order of replicas
    and of dependencies has no meaning.
    """
    if isinstance(old, dict) and isinstance(new, dict):
        return _compare_objects(old, new, path)
    if isinstance(old, list) and isinstance(new, list):
        return _compare_arrays(old, new, path)
    if old == new and isinstance(old, bool) == isinstance(new, bool):
        return []
    name = jsonc.format_path(path)
    return [Change(name, ChangeKind.CHANGED, old, new)]


def _compare_objects(old: dict, new: dict, path: jsonc.Path) -> list[Change]:
    changes = []
    for name in [*old, *(n for n in new if n not in old)]:
        child_path = path + (name,)
        if name not in new:
            changes.append(_removed(child_path, old[name]))
        elif name not in old:
            changes.append(_added(child_path, new[name]))
        else:
            changes.extend(compare(old[name], new[name], child_path))
    return changes


def _compare_arrays(old: list, new: list, path: jsonc.Path) -> list[Change]:
    removed = [item for item in old if item not in new]
    added = [item for item in new if item not in old]
    return [_removed(path, item) for item in removed] + [
        _added(path, item) for item in added
    ]


def _added(path: jsonc.Path, value: typing.Any) -> Change:
    return Change(jsonc.format_path(path), ChangeKind.ADDED, new=value)


def _removed(path: jsonc.Path, value: typing.Any) -> Change:
    return Change(jsonc.format_path(path), ChangeKind.REMOVED, old=value)


def format_value(value: typing.Any) -> str:
    """Formats a value on one line."""
    return json.dumps(value, ensure_ascii=False)
