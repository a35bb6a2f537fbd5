"""Parts of HTTP requests that come from documents or bodies."""

from __future__ import annotations

import re

# Characters of a header name (RFC 9110, section 5.6.2).
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Visible characters of ISO 8859-1, spaces and tabs.
_VALUE = re.compile(r'[\t\x20-\x7e\xa0-\xff]*')
# Visible characters of ASCII.
_TARGET = re.compile(r'/[\x21-\x7e]*')


def require_name(text: str) -> str:
    """Returns a header name.

    Raises:
        ValueError: It can't be sent.
    """
    return _require(_NAME, text, 'a header name')


def require_value(text: str) -> str:
    """Returns a header value.

    Raises:
        ValueError: It can't be sent.
    """
    return _require(_VALUE, text, 'a header value')


def require_target(text: str) -> str:
    """Returns a path with an optional query.

    Raises:
        ValueError: It can't be sent.
    """
    return _require(_TARGET, text, 'a path')


def _require(pattern: re.Pattern[str], text: str, kind: str) -> str:
    if not pattern.fullmatch(text):
        raise ValueError(f'{text!r:.50} is not {kind}')
    return text
