"""Decisions about requests by text, key and freshness of the text."""

import pytest

from lentildeal._internal.accounts import authentication
from lentildeal._internal.accounts import keyring
from lentildeal._internal.models import deployment
from tests.lib import job_builders

ACCOUNTS = job_builders.make_accounts(a=['key-a', 'key-a2'], b=['key-b'], c=[])
FRESH = authentication.Freshness(0.1)
# Older than any text of a daemon that reads the store.
OLD = authentication.Freshness(60.0)
CUT_OFF = authentication.Freshness(60.0, failed_age_s=0.1)
Cause = authentication.Cause
Verdict = authentication.Verdict


def decide(*keys, freshness=FRESH, accounts=ACCOUNTS, **options):
    text = job_builders.make_published_text(accounts=accounts)
    found = keyring.Keyring(accounts or {})
    return authentication.decide(text, found, keys, freshness, **options)


def test_key_names_its_account():
    for key, account in (('key-a', 'a'), ('key-a2', 'a'), ('key-b', 'b')):
        decision = decide(key)
        assert decision.verdict is Verdict.ADMIT
        assert decision.account_name == account


@pytest.mark.parametrize(
    'keys, cause',
    [
        ((), Cause.MISSING_KEY),
        (('',), Cause.MISSING_KEY),
        (('key-c',), Cause.UNKNOWN_KEY),
        (('key-a', 'key-a'), Cause.REPEATED_KEY),
        (('key-a', 'key-b'), Cause.REPEATED_KEY),
        (('unknown', 'key-b'), Cause.REPEATED_KEY),
    ],
)
def test_request_without_one_known_key_is_refused(keys, cause):
    decision = decide(*keys)
    assert (decision.verdict, decision.cause) == (Verdict.REFUSE, cause)
    assert decision.account is None


@pytest.mark.parametrize('keys', [(), ('unknown',), ('key-a', 'key-b')])
def test_public_route_needs_no_key(keys):
    # Guards also against an account for a key that is not known for certain.
    decision = decide(*keys, is_public=True)
    assert decision.verdict is Verdict.ADMIT
    assert decision.account is None


def test_key_on_a_public_route_names_its_account():
    assert decide('key-b', is_public=True).account_name == 'b'


@pytest.mark.parametrize('keys', [(), ('unknown',)])
@pytest.mark.parametrize('freshness', [FRESH, OLD, CUT_OFF])
def test_text_without_accounts_admits_as_before(keys, freshness):
    decision = decide(*keys, accounts=None, freshness=freshness)
    assert decision.verdict is Verdict.ADMIT
    assert decision.account is None


def test_text_whose_accounts_lost_all_keys_admits_nobody():
    # Guards against taking a text without keys for one without accounts.
    for accounts in ({}, job_builders.make_accounts(a=[])):
        decision = decide('key-a', accounts=accounts)
        assert decision.verdict is Verdict.REFUSE


def test_daemon_without_a_text_refuses_as_not_run():
    for freshness in (FRESH, OLD, CUT_OFF):
        decision = authentication.decide(
            None, keyring.Keyring({}), ['key-a'], freshness
        )
        assert decision.verdict is Verdict.UNAVAILABLE
        assert decision.cause is Cause.NO_TEXT


def test_unknown_key_may_be_newer_than_the_text():
    # Guards against 401 for a key that other daemons know already.
    for age_s in (authentication.UNKNOWN_KEY_AGE_S + 0.01, 60.0):
        readable = authentication.Freshness(age_s)
        assert decide('new', freshness=readable).verdict is Verdict.READ_TEXT
        unreadable = authentication.Freshness(age_s, failed_age_s=0.1)
        decision = decide('new', freshness=unreadable)
        assert decision.verdict is Verdict.UNAVAILABLE
        assert decision.cause is Cause.STALE_TEXT


def test_known_key_is_checked_again_when_the_text_is_old():
    # Guards against a daemon that was frozen while the key was removed.
    assert decide('key-a', freshness=OLD).verdict is Verdict.READ_TEXT
    assert decide(freshness=OLD).verdict is Verdict.READ_TEXT


def test_cut_off_daemon_serves_the_keys_that_it_knows():
    decision = decide('key-a', freshness=CUT_OFF)
    assert decision.verdict is Verdict.ADMIT
    assert decision.account_name == 'a'
    later = authentication.Freshness(60.0, failed_age_s=30.0)
    # Guards against a delay of each call while the store is down.
    assert decide('key-a', freshness=later).verdict is Verdict.ADMIT
    # An unknown key is worth another read from time to time.
    assert decide('new', freshness=later).verdict is Verdict.READ_TEXT
    # No newer text can admit these.
    assert decide(freshness=CUT_OFF).verdict is Verdict.REFUSE
    assert decide('a', 'b', freshness=CUT_OFF).verdict is Verdict.REFUSE


def test_priority_of_the_account_takes_precedence_over_the_route():
    route = job_builders.make_route(priority=3)
    for priority, expected in ((None, 3), (0, 0), (5, 5)):
        account = deployment.Account('a', frozenset(), priority)
        decision = authentication.Decision(Verdict.ADMIT, account)
        assert decision.get_priority(route) == expected
    assert authentication.Decision(Verdict.ADMIT).get_priority(route) == 3
