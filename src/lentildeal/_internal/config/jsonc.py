"""JSON with comments, with the line of every value.

The values come from the ``json-with-comments`` library, which keeps no
positions. The scanner here only finds lines, and only runs for texts that
have a fault to report or that a person publishes.
"""

from __future__ import annotations

import dataclasses
import json
import re
import typing

import jsonc

Path = typing.Tuple[typing.Union[str, int], ...]

# An unclosed comment or string ends with the text; if it were no token, the
# scan would start again behind its first character and take quadratic time.
_TOKEN = re.compile(
    r'(?P<space>\s+|//[^\n]*|\#[^\n]*|/\*.*?(?:\*/|\Z))'
    r'|(?P<string>"(?:[^"\\]|\\.)*(?:"|\Z))'
    r'|(?P<mark>[{}\[\],:])'
    r'|(?P<word>[^\s{}\[\],:"/]+)',
    re.DOTALL,
)
# Deeper nesting than this is refused, so that hostile input can't exhaust
# the interpreter's stack; the deepest valid text has 6 levels.
MAX_DEPTH = 32


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault in a text.

    Attributes:
        path: Dotted path of the value, empty for the whole text.
        line: Line from 1, or 0 if unknown.
        problem: What is wrong.
        remedy: What to do about it.
    """

    path: str
    line: int
    problem: str
    remedy: str

    def __str__(self) -> str:
        place = f'line {self.line}: ' if self.line else ''
        name = f'{self.path}: ' if self.path else ''
        return f'{place}{name}{self.problem}; {self.remedy}'


class TextFaultsError(ValueError):
    """A text has faults.

    Attributes:
        faults: All faults found, in the order of the text where known.
    """

    def __init__(self, faults: typing.Sequence[Fault]) -> None:
        super().__init__('\n'.join(str(fault) for fault in faults))
        self.faults = tuple(faults)


def format_path(path: Path) -> str:
    """Formats a path as in ``targets.engines.replicas.a[0]``."""
    parts = []
    for step in path:
        if isinstance(step, int):
            parts.append(f'[{step}]')
        else:
            parts.append(f'.{step}' if parts else step)
    return ''.join(parts)


def parse(text: str) -> typing.Any:
    """Parses a text.

    Raises:
        TextFaultsError: The text is no JSON, nests too deep or names a key
            twice.
    """
    _check_depth(text)
    duplicates: list[str] = []

    def collect(pairs: list[tuple[str, typing.Any]]) -> dict:
        result = dict(pairs)
        if len(result) < len(pairs):
            names = [name for name, _ in pairs]
            duplicates.extend(n for n in result if names.count(n) > 1)
        return result

    try:
        value = jsonc.loads(
            text, object_pairs_hook=collect, parse_constant=_refuse_constant
        )
    except json.JSONDecodeError as error:
        fault = Fault(
            '', error.lineno, f'not valid JSON: {error.msg}', 'correct it'
        )
        raise TextFaultsError([fault]) from error
    except (ValueError, RecursionError) as error:
        fault = Fault('', 0, f'not valid JSON: {error}', 'correct it')
        raise TextFaultsError([fault]) from error
    if duplicates:
        raise TextFaultsError(_duplicate_faults(text, duplicates))
    return value


def _refuse_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no JSON number')


def find_lines(text: str) -> dict[Path, int]:
    """Maps the path of each value of a valid text to its line from 1."""
    lines: dict[Path, int] = {}
    for path, line in _iter_positions(text):
        lines.setdefault(path, line)
    return lines


def _check_depth(text: str) -> None:
    depth = 0
    for match in _TOKEN.finditer(text):
        mark = match.group('mark')
        if mark in ('{', '['):
            depth += 1
            if depth > MAX_DEPTH:
                line = text.count('\n', 0, match.start()) + 1
                fault = Fault(
                    '',
                    line,
                    f'nested deeper than {MAX_DEPTH} levels',
                    'remove levels',
                )
                raise TextFaultsError([fault])
        elif mark in ('}', ']'):
            depth -= 1


def _duplicate_faults(text: str, names: list[str]) -> list[Fault]:
    seen: set[Path] = set()
    faults = []
    for path, line in _iter_positions(text):
        if path in seen and path and path[-1] in names:
            faults.append(
                Fault(
                    format_path(path),
                    line,
                    'key is given twice',
                    'keep one of the two',
                )
            )
        seen.add(path)
    return faults


def _iter_positions(text: str) -> typing.Iterator[tuple[Path, int]]:
    """Yields path and line of each value; a key counts as its value."""
    path: list[typing.Union[str, int]] = []
    in_object: list[bool] = []
    expects_key = False
    line = 1
    for match in _TOKEN.finditer(text):
        kind = match.lastgroup
        token = match.group()
        if kind == 'mark' and token in '{[':
            if not in_object or not in_object[-1]:
                yield tuple(path), line
            in_object.append(token == '{')
            path.append('' if token == '{' else 0)
            expects_key = token == '{'
        elif kind == 'mark' and token in '}]':
            if in_object:
                in_object.pop()
                path.pop()
            expects_key = False
        elif kind == 'mark' and token == ',':
            if in_object and in_object[-1]:
                expects_key = True
            elif in_object:
                path[-1] += 1
        elif kind == 'string' and expects_key:
            path[-1] = json.loads(token)
            yield tuple(path), line
            expects_key = False
        elif kind in ('string', 'word') and in_object and not in_object[-1]:
            yield tuple(path), line
        line += token.count('\n')
