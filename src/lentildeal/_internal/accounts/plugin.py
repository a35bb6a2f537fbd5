"""Plug-in ``accounts``: authenticates the senders of requests."""

from __future__ import annotations

import dataclasses
import typing

import prometheus_client

from lentildeal._internal.accounts import authentication
from lentildeal._internal.accounts import job_access
from lentildeal._internal.accounts import keyring
from lentildeal._internal.accounts import refusals
from lentildeal._internal.directory import text_reads
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.models import jobs
from lentildeal._internal.utils import clock

# Delay before a retry at this or another daemon, in seconds.
RETRY_AFTER_S = 0.2

_refusals_total = prometheus_client.Counter(
    'lentildeal_unauthenticated_total',
    'Requests refused because of their key, by cause.',
    ['cause'],
)


@plugins.register('accounts', after=('directory',))
class Accounts(plugins.Plugin):
    """Finds the account of a request by the published text in effect."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._refusals = refusals.RefusalCounter()
        self._keyring = keyring.Keyring({})
        self._keyring_text: typing.Optional[deployment.PublishedText] = None

    def authenticate(
        self,
        keys: typing.Sequence[str],
        route: typing.Optional[deployment.Route],
    ) -> authentication.Decision:
        """Returns the decision by which a request is admitted.

        Args:
            keys: Values of the key header.
            route: Route of the request, None without one.

        Raises:
            exceptions.UnauthenticatedError: The request has no valid key.
            exceptions.NotRunError: This daemon can't tell.
        """
        is_public = route is not None and route.is_public
        arrived_s = self._directory.text_reads.now()
        deadline = clock.Deadline(text_reads.READ_WAIT_S)
        decision = self._decide(keys, is_public, arrived_s)
        while decision.verdict is authentication.Verdict.READ_TEXT:
            self._directory.wait_for_text_read(deadline.remaining_s)
            may_wait = not deadline.has_passed
            decision = self._decide(keys, is_public, arrived_s, may_wait)
        if decision.verdict is not authentication.Verdict.ADMIT:
            self._record_refusal(decision.cause)
            raise _make_error(decision)
        return decision

    def _decide(
        self,
        keys: typing.Sequence[str],
        is_public: bool,
        arrived_s: float,
        may_wait: bool = True,
    ) -> authentication.Decision:
        text = self._directory.text
        freshness = self._directory.text_reads.measure(arrived_s)
        if not may_wait and freshness.may_retry:
            freshness = dataclasses.replace(freshness, failed_age_s=0.0)
        decision = authentication.decide(
            text,
            self._find_keyring(text),
            keys,
            freshness,
            is_public=is_public,
        )
        has_accounts = text is not None and text.accounts is not None
        if has_accounts and freshness.is_old and freshness.may_retry:
            # A daemon that was cut off learns of removed keys as soon as the
            # store can be read again; requests don't wait for it.
            self._directory.start_text_read()
        return decision

    def make_job_filter(
        self, keys: typing.Sequence[str]
    ) -> typing.Callable[[typing.Optional[jobs.JobHead]], bool]:
        """Returns a function that says whether the sender may see a job.

        It raises UnauthenticatedError for a sender without a valid key,
        whether or not there is such a job.

        Raises:
            exceptions.UnauthenticatedError: The request has no valid key.
            exceptions.NotRunError: This daemon can't tell.
        """
        account: typing.Optional[ids.AccountName] = None
        refusal: typing.Optional[exceptions.UnauthenticatedError] = None
        try:
            account = self.authenticate(keys, None).account_name
        except exceptions.UnauthenticatedError as error:
            if job_access.needs_key(self._directory.text):
                raise
            refusal = error

        def may_see(head: typing.Optional[jobs.JobHead]) -> bool:
            text = self._directory.text
            if head is not None and job_access.may_see(text, account, head):
                return True
            if refusal is not None:
                raise refusal
            return False

        return may_see

    def _record_refusal(self, cause: authentication.Cause) -> None:
        _refusals_total.labels(cause.value).inc()
        count = self._refusals.record(cause)
        if count:
            text = self._directory.text
            events.emit(
                'requests_unauthenticated',
                cause=cause.value,
                count=count,
                text_version=None if text is None else text.version,
            )

    def _find_keyring(
        self, text: typing.Optional[deployment.PublishedText]
    ) -> keyring.Keyring:
        if text is not self._keyring_text:
            accounts = None if text is None else text.accounts
            self._keyring = keyring.Keyring(accounts or {})
            self._keyring_text = text
        return self._keyring


def _make_error(
    decision: authentication.Decision,
) -> exceptions.LentildealError:
    cause = decision.cause
    if decision.verdict is authentication.Verdict.REFUSE:
        return exceptions.UnauthenticatedError(_MESSAGES[cause])
    return exceptions.NotRunError(
        _MESSAGES[cause], cause=cause.value, retry_after_s=RETRY_AFTER_S
    )


_MESSAGES = {
    authentication.Cause.MISSING_KEY: 'the request has no key',
    authentication.Cause.UNKNOWN_KEY: 'the key belongs to no account',
    authentication.Cause.REPEATED_KEY: 'the request has several keys',
    authentication.Cause.NO_TEXT: 'no published text is known yet',
    authentication.Cause.STALE_TEXT: (
        'the key may be newer than the published text that is known here'
    ),
}
