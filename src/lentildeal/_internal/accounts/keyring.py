"""Finds the account of a key."""

from __future__ import annotations

import hashlib
import hmac
import secrets
import typing

from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids

_DIGEST_BYTES = 32


class Keyring:
    """Keys of the accounts of one published text.

    Keys are found by a digest that depends on a random secret, so that the
    time of a look-up says nothing about how much of a guessed key is right.
    The keys themselves are not kept.
    """

    def __init__(
        self, accounts: typing.Mapping[ids.AccountName, deployment.Account]
    ) -> None:
        self._secret = secrets.token_bytes(_DIGEST_BYTES)
        self._accounts = {
            self._make_digest(key): account
            for account in accounts.values()
            for key in account.keys
        }

    def find(self, key: str) -> typing.Optional[deployment.Account]:
        """Returns the account with exactly this key, None without one."""
        return self._accounts.get(self._make_digest(key))

    def _make_digest(self, key: str) -> bytes:
        data = key.encode('utf-8', 'surrogatepass')
        return hmac.digest(self._secret, data, hashlib.sha256)
