"""JSON with comments, with the line of every value.

The ``json-with-comments`` library parses the values. It has three limits: it
keeps no positions, it removes line ends together with comments, and it takes
quadratic time for an unclosed string or comment. A linear-time scan therefore
runs first. It replaces comments and trailing commas by spaces and rejects
unclosed strings and comments.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import re
import typing

import jsonc

Path = typing.Tuple[typing.Union[str, int], ...]

# An unclosed comment or string matches as one token up to the end of the text.
# Otherwise the scan would resume after its first character and take quadratic
# time.
_TOKEN = re.compile(
    r'(?P<space>\s+|//[^\n]*|/\*.*?(?:\*/|\Z))'
    r'|(?P<string>"(?:[^"\\]|\\.)*(?P<close>")?)'
    r'|(?P<mark>[{}\[\],:])'
    r'|(?P<word>[^\s{}\[\],:"/]+)',
    re.DOTALL,
)
_NOT_LINE_END = re.compile(r'[^\n]')
# Prevents malicious input from exhausting the interpreter's stack; the deepest
# valid text has 6 levels.
MAX_DEPTH = 32
# Longest number or bare word. The interpreter raises an error for integers of
# more than 4,300 digits.
MAX_WORD_CHARS = 400

# Python's JSON parser accepts these, though they are not valid JSON, and no
# comparison with a bound would reject NaN.
_NON_FINITE_NUMBERS = ('NaN', 'Infinity', '-Infinity')
_NON_FINITE_FAULT = ('not a JSON number', 'write a finite number')
_LONG_WORD_FAULT = (
    f'longer than {MAX_WORD_CHARS} characters',
    'write a shorter value',
)
_OPEN_COMMENT_FAULT = ('the comment is not closed', 'end it with "*/"')
_OPEN_STRING_FAULT = (
    'the string is not closed',
    'end it with a quotation mark',
)
_TOO_DEEP_FAULT = (f'nested deeper than {MAX_DEPTH} levels', 'remove levels')


@dataclasses.dataclass(frozen=True)
class Fault:
    """One fault in a text.

    Attributes:
        path: Dotted path of the value, empty for the whole text.
        line: Line, counted from 1, or 0 if unknown.
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
        TextFaultsError: The text is not valid JSON, nests too deep or has a
            duplicate key.
    """
    blanked = _blank_comments(text)
    duplicates: list[str] = []

    def collect(pairs: list[tuple[str, typing.Any]]) -> dict:
        result = dict(pairs)
        if len(result) < len(pairs):
            counts = collections.Counter(name for name, _ in pairs)
            duplicates.extend(n for n, c in counts.items() if c > 1)
        return result

    try:
        value = jsonc.loads(blanked, object_pairs_hook=collect)
    except json.JSONDecodeError as error:
        fault = Fault(
            '', error.lineno, f'not valid JSON: {error.msg}', 'correct it'
        )
        raise TextFaultsError([fault]) from error
    except (ValueError, RecursionError) as error:
        fault = Fault('', 0, f'not valid JSON: {error}', 'correct it')
        raise TextFaultsError([fault]) from error
    if duplicates:
        raise TextFaultsError(_find_duplicate_keys(text, duplicates))
    return value


def find_lines(text: str) -> dict[Path, int]:
    """Maps the path of each value of a valid text to its line from 1."""
    lines: dict[Path, int] = {}
    for path, line in _iter_positions(text):
        lines.setdefault(path, line)
    return lines


def _blank_comments(text: str) -> str:
    """Replaces comments and trailing commas by spaces.

    Line ends are kept, so that the parser reports correct lines.

    Raises:
        TextFaultsError: A string or comment is not closed, or the text nests
            too deep.
    """
    spans: list[tuple[int, int]] = []
    depth = 0
    comma: typing.Optional[int] = None
    for match in _TOKEN.finditer(text):
        token, start = match.group(), match.start()
        if match.lastgroup == 'space':
            if token[0] == '/':
                spans.append(match.span())
                is_closed = token[1] == '/' or token[2:].endswith('*/')
                _require(is_closed, text, start, *_OPEN_COMMENT_FAULT)
            continue
        if match.lastgroup == 'string':
            is_closed = match.group('close') is not None
            _require(is_closed, text, start, *_OPEN_STRING_FAULT)
        elif match.lastgroup == 'word':
            _require(
                token not in _NON_FINITE_NUMBERS,
                text,
                start,
                *_NON_FINITE_FAULT,
            )
            is_short = len(token) <= MAX_WORD_CHARS
            _require(is_short, text, start, *_LONG_WORD_FAULT)
        elif token in ('{', '['):
            depth += 1
            _require(depth <= MAX_DEPTH, text, start, *_TOO_DEEP_FAULT)
        elif token in ('}', ']'):
            depth -= 1
            if comma is not None:
                spans.append((comma, comma + 1))
        comma = start if token == ',' else None
    return _blank_spans(text, sorted(spans))


def _blank_spans(text: str, spans: list[tuple[int, int]]) -> str:
    """Replaces spans by spaces, except for line ends."""
    pieces = []
    copied = 0
    for start, end in spans:
        pieces.append(text[copied:start])
        pieces.append(_NOT_LINE_END.sub(' ', text[start:end]))
        copied = end
    return ''.join(pieces) + text[copied:]


def _require(
    is_valid: bool, text: str, start: int, problem: str, remedy: str
) -> None:
    if not is_valid:
        line = text.count('\n', 0, start) + 1
        raise TextFaultsError([Fault('', line, problem, remedy)])


def _find_duplicate_keys(text: str, names: list[str]) -> list[Fault]:
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
    """Yields the path and line of each value.

    The line of an object member is that of its key.
    """
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
