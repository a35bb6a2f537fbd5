"""Numbers in headers and documents from outside."""

from __future__ import annotations

import typing

# Enough for a time in microseconds; any such number fits into 64 bits.
MAX_DIGITS = 18
MAX_INT = 10**MAX_DIGITS


def read_decimal(text: str) -> typing.Optional[int]:
    """Reads a non-negative decimal number, None if it is none.

    Spaces and tabs around it are allowed, as around the value of a header.
    ``str.isdigit`` also holds for digits that ``int`` does not accept, such
    as superscripts, and for numbers of any length.
    """
    text = text.strip(' \t')
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    return int(text)


def read_rate(text: str) -> typing.Optional[float]:
    """Reads a non-negative decimal number that may have a fraction.

    Returns None for anything else, also for an exponent, infinity and NaN.
    """
    whole, _, fraction = text.strip(' \t').partition('.')
    if read_decimal(whole + fraction) is None:
        return None
    return float(text.strip(' \t'))


def require_int(value: typing.Any) -> int:
    """Returns an integer of a JSON document.

    Raises:
        TypeError: It is not an integer.
        ValueError: It is too large for a record of the log.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f'{value!r:.50} is not an integer')
    if abs(value) > MAX_INT:
        raise ValueError(f'an integer of {value.bit_length()} bits')
    return value


def require_amount(value: typing.Any) -> float:
    """Returns a non-negative number of a JSON document.

    Raises:
        TypeError: It is not a number.
        ValueError: It is negative, infinite or too large.
    """
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f'{value!r:.50} is not a number')
    # Does not hold for NaN either.
    if not 0 <= value <= MAX_INT:
        raise ValueError(f'a number that is not between 0 and {MAX_INT}')
    return value
