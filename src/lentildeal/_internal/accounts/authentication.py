"""Decides whether a request may be handled, and for which account.

A daemon that has not read the newest text for a while may not know a key that
was added, and may know one that was removed. It then reads the newest text
first. If it can't, it serves the keys that it knows and refuses others as not
run, because another daemon may know them.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

from lentildeal._internal.accounts import keyring as keyring_module
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids

# Age of a text from which on an unknown key may be newer than the text. A
# client may use a key as soon as its operator has published it. Bounds the
# reads of a daemon that gets many unknown keys to five a second; 137 daemons
# then make a ninth of the reads that the store allows.
UNKNOWN_KEY_AGE_S = 0.2
# Age of a text from which on a known key may have been removed. Removed keys
# must not be served 3 s after the removal. The text of an idle daemon that
# reads without failures is up to 2.0 s old, and up to 2.4 s while a read takes
# 0.24 s; its calls must not wait for a read.
KNOWN_KEY_AGE_S = 2.5
# Time after a failed read of the text until another is tried for an unknown
# key. Known keys are served without waiting until a read succeeds.
RETRY_S = 0.5


class Verdict(str, enum.Enum):
    """What is done with a request."""

    ADMIT = 'admit'
    # Read the newest text, then decide again.
    READ_TEXT = 'read_text'
    # 401: no newer text can admit it.
    REFUSE = 'refuse'
    # 503: this daemon can't tell.
    UNAVAILABLE = 'unavailable'


class Cause(str, enum.Enum):
    """Why a request is not admitted."""

    MISSING_KEY = 'missing_key'
    UNKNOWN_KEY = 'unknown_key'
    REPEATED_KEY = 'repeated_key'
    NO_TEXT = 'no_text'
    STALE_TEXT = 'stale_text'


@dataclasses.dataclass(frozen=True)
class Freshness:
    """How far a daemon's text can be trusted to be the newest.

    Attributes:
        age_s: Time from the start of the last successful read of the text to
            the arrival of the request, in seconds; 0 if the read began later.
        failed_age_s: Time since a read failed, in seconds; None if none has
            failed since the last successful one.
    """

    age_s: float = 0.0
    failed_age_s: typing.Optional[float] = None

    @property
    def is_old(self) -> bool:
        """Whether a key of the text may have been removed."""
        return self.age_s > KNOWN_KEY_AGE_S

    @property
    def may_retry(self) -> bool:
        """Whether a read is tried for a key that can't be served."""
        return self.failed_age_s is None or self.failed_age_s > RETRY_S


@dataclasses.dataclass(frozen=True)
class Decision:
    """What is done with a request.

    Attributes:
        verdict: What is done.
        account: Account of an admitted request, None without one.
        cause: Why it is not admitted, None if it is or may be.
    """

    verdict: Verdict
    account: typing.Optional[deployment.Account] = None
    cause: typing.Optional[Cause] = None

    def get_priority(self, route: deployment.Route) -> int:
        """Rank of the request, 0 is the highest."""
        if self.account is None or self.account.priority is None:
            return route.priority
        return self.account.priority

    @property
    def account_name(self) -> typing.Optional[ids.AccountName]:
        """Name of the account, None without one."""
        return None if self.account is None else self.account.name


def decide(
    text: typing.Optional[deployment.PublishedText],
    keyring: keyring_module.Keyring,
    keys: typing.Sequence[str],
    freshness: Freshness,
    *,
    is_public: bool = False,
) -> Decision:
    """Decides whether a request is admitted.

    Args:
        text: Published text in effect, None before the first one.
        keyring: Keys of the accounts of the text.
        keys: Values of the key header, one for each time it was sent.
        freshness: How far the text can be trusted to be the newest.
        is_public: Whether the route needs no key.
    """
    if text is None:
        return Decision(Verdict.UNAVAILABLE, cause=Cause.NO_TEXT)
    if text.accounts is None:
        return Decision(Verdict.ADMIT)
    if freshness.is_old and freshness.failed_age_s is None:
        return Decision(Verdict.READ_TEXT)
    # A repeated header names no account, not even if one of its keys does:
    # daemons and proxies could take different ones.
    account = keyring.find(keys[0]) if len(keys) == 1 else None
    if account is not None or is_public:
        return Decision(Verdict.ADMIT, account)
    if len(keys) > 1:
        return Decision(Verdict.REFUSE, cause=Cause.REPEATED_KEY)
    if not keys or not keys[0]:
        return Decision(Verdict.REFUSE, cause=Cause.MISSING_KEY)
    if freshness.age_s <= UNKNOWN_KEY_AGE_S:
        return Decision(Verdict.REFUSE, cause=Cause.UNKNOWN_KEY)
    if freshness.may_retry:
        return Decision(Verdict.READ_TEXT)
    return Decision(Verdict.UNAVAILABLE, cause=Cause.STALE_TEXT)
