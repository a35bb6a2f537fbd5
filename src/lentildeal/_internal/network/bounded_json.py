"""Estimates the memory of decoded JSON before it is decoded.

Counts characters that JSON needs for each value, which takes a small part of
the time of the decoding. Characters in strings count as well; base64 has none
of them.
"""

from __future__ import annotations

# Upper bounds of memory in CPython, in bytes: an object and its reference in a
# container that has grown by doubling.
_DICT_BYTES = 264
_LIST_BYTES = 104
_ELEMENT_BYTES = 64
_MEMBER_BYTES = 64
# Characters of a text with any character beyond Latin-1 take up to 4 bytes.
_WIDE_CHAR_BYTES = 4
# A string with escapes is assembled from its parts.
_ESCAPED_FACTOR = 2
# Parts of the decoder, and of the objects of a small document.
_FIXED_BYTES = 8 * 1024
# Bytes for each occurrence from which a search is faster than a count, which
# looks at each byte. In jobs most bytes are those of long strings.
_SPARSE_BYTES = 500
# Nesting is bounded by the decoder, which raises RecursionError.


def estimate_bytes(body: bytes) -> int:
    """Estimates the memory that decoding takes, without the body itself."""
    is_wide = not body.isascii()
    text_bytes = len(body) * (_WIDE_CHAR_BYTES if is_wide else 1)
    has_escapes = b'\\' in body
    has_wide_strings = is_wide or (has_escapes and b'\\u' in body)
    string_bytes = len(body) * (_WIDE_CHAR_BYTES if has_wide_strings else 1)
    if has_escapes:
        string_bytes *= _ESCAPED_FACTOR
    return (
        _FIXED_BYTES
        + text_bytes
        + string_bytes
        + _count(body, b'{') * _DICT_BYTES
        + _count(body, b'[') * _LIST_BYTES
        + _count(body, b',') * _ELEMENT_BYTES
        + _count(body, b':') * _MEMBER_BYTES
    )


def _count(body: bytes, character: bytes) -> int:
    """Counts a character; fast where it is rare."""
    position = -1
    for count in range(len(body) // _SPARSE_BYTES):
        position = body.find(character, position + 1)
        if position < 0:
            return count
    return body.count(character)
