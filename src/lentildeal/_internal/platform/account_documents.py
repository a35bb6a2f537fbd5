"""Decodes the accounts of the published text.

Errors name the place of a fault. They never quote a value of an account other
than its name, because it may be a key or contain one.
"""

from __future__ import annotations

import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.utils import decimals
from lentildeal._internal.utils import http_fields

_FIELD = 'Tenants'


def decode_accounts(
    entries: typing.Any,
) -> typing.Optional[dict[ids.AccountName, deployment.Account]]:
    """Decodes the accounts, None if the text has none.

    Raises:
        TypeError: A value has a wrong type.
        ValueError: A field is missing or invalid, or accounts contradict each
            other.
    """
    if entries is None:
        return None
    _require_type(entries, list, _FIELD)
    accounts: dict[ids.AccountName, deployment.Account] = {}
    places: dict[str, str] = {}
    for number, entry in enumerate(entries):
        place = f'{_FIELD}[{number}]'
        account = _decode_account(entry, place)
        if account.name in accounts:
            raise ValueError(
                f'{place}.Name: {account.name!r:.50} is also the name of'
                ' another account'
            )
        for key in account.keys:
            other = places.setdefault(key, place)
            if other != place:
                raise ValueError(
                    f'{place}.ApiKeys: one of the keys is also in'
                    f' {other}.ApiKeys'
                )
        accounts[account.name] = account
    return accounts


def check_route(route: typing.Any, number: int) -> None:
    """Checks the fields of a route that concern accounts.

    Any value that is not false would make a route public, and any number its
    priority.

    Raises:
        TypeError: A value has a wrong type.
        ValueError: The priority is negative.
    """
    place = f'Routes[{number}]'
    if route.get('Public') is not None:
        _require_type(route['Public'], bool, f'{place}.Public')
    _decode_priority(route, place)


def _decode_account(entry: typing.Any, place: str) -> deployment.Account:
    _require_type(entry, dict, place)
    name = _read_field(entry, 'Name', str, place)
    if not _is_header_value(name):
        # It is sent as a header, which would not arrive as the same name.
        raise ValueError(f'{place}.Name: {name!r:.50} cannot be sent')
    keys = _read_field(entry, 'ApiKeys', list, place)
    for number, key in enumerate(keys):
        key_place = f'{place}.ApiKeys[{number}]'
        _require_type(key, str, key_place)
        if not _is_header_value(key):
            raise ValueError(f'{key_place}: no client can send this key')
    return deployment.Account(
        ids.AccountName(name), frozenset(keys), _decode_priority(entry, place)
    )


def _decode_priority(entry: dict, place: str) -> typing.Optional[int]:
    priority = entry.get('Priority')
    if priority is None:
        return None
    try:
        if decimals.require_int(priority) < 0:
            raise ValueError('it is negative')
    except (TypeError, ValueError) as error:
        raise type(error)(
            f'{place}.Priority is not a priority from 0 on'
        ) from None
    return priority


def _read_field(entry: dict, name: str, kind: type, place: str) -> typing.Any:
    if name not in entry:
        raise ValueError(f'{place}.{name} is missing')
    _require_type(entry[name], kind, f'{place}.{name}')
    return entry[name]


def _require_type(value: typing.Any, kind: type, place: str) -> None:
    if not isinstance(value, kind):
        raise TypeError(
            f'{place} is of type {type(value).__name__}, not {kind.__name__}'
        )


def _is_header_value(text: str) -> bool:
    """Whether a text arrives unchanged as the value of a header."""
    if not text or text != text.strip():
        return False
    try:
        http_fields.require_value(text)
    except ValueError:
        return False
    return True
