"""Accounts of the published text; an invalid one rejects the text."""

import json

import hypothesis
import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.platform import documents
from tests.lib import byte_strategies
from tests.lib import platform_world

ACCOUNT = {'Name': 'a', 'ApiKeys': ['secret-1', 'secret-2'], 'Priority': 1}
OTHER = {'Name': 'b', 'ApiKeys': ['secret-3']}


def make_text(*accounts, **route_fields):
    route = platform_world.make_route('r', '/r/', 'safe', 'desk')
    return {
        'Version': 1,
        'Routes': [{**route, **route_fields}],
        'Services': [{'Name': 'desk'}],
        'Tenants': list(accounts),
    }


def make_account(**overrides):
    account = {**ACCOUNT, **overrides}
    return {k: v for k, v in account.items() if v is not ...}


def find_fault(document):
    with pytest.raises(exceptions.UnreadableRecordError) as error:
        documents.decode_text(document)
    # Guards against a key in the log line of a rejected text.
    assert 'secret' not in str(error.value)
    return error.value.message


def test_accounts_are_decoded():
    empty = {'Name': 'c', 'ApiKeys': []}
    accounts = documents.decode_text(make_text(ACCOUNT, OTHER, empty)).accounts
    assert [(a.name, a.priority) for a in accounts.values()] == [
        ('a', 1),
        ('b', None),
        ('c', None),
    ]
    assert accounts['a'].keys == {'secret-1', 'secret-2'}
    assert accounts['c'].keys == frozenset()


def test_text_without_accounts_has_none():
    # A text that lists no account lets nobody in; one without the list does.
    text = make_text()
    assert documents.decode_text(text).accounts == {}
    del text['Tenants']
    assert documents.decode_text(text).accounts is None


@pytest.mark.parametrize(
    'account, place',
    [
        (make_account(Name=...), 'Tenants[1].Name is missing'),
        (make_account(Name=7), 'Tenants[1].Name'),
        (make_account(Name=''), 'Tenants[1].Name'),
        (make_account(Name='a '), 'Tenants[1].Name'),
        (make_account(Name='a\r\nX-Admin: 1'), 'Tenants[1].Name'),
        (make_account(Name='b'), "'b' is also the name of another account"),
        (make_account(ApiKeys=...), 'Tenants[1].ApiKeys is missing'),
        (make_account(ApiKeys=None), 'Tenants[1].ApiKeys'),
        # Each of its characters would be a key.
        (make_account(ApiKeys='secret-4'), 'Tenants[1].ApiKeys'),
        (make_account(ApiKeys={'secret-4': 1}), 'Tenants[1].ApiKeys'),
        (make_account(ApiKeys=['secret-4', 7]), 'Tenants[1].ApiKeys[1]'),
        (make_account(ApiKeys=[['secret-4']]), 'Tenants[1].ApiKeys[0]'),
        (make_account(ApiKeys=['']), 'Tenants[1].ApiKeys[0]'),
        (make_account(ApiKeys=[' secret-4']), 'Tenants[1].ApiKeys[0]'),
        (make_account(ApiKeys=['secret-4\n']), 'Tenants[1].ApiKeys[0]'),
        (make_account(ApiKeys=['\u20acsecret']), 'Tenants[1].ApiKeys[0]'),
        (make_account(ApiKeys=['secret-3']), 'also in Tenants[0].ApiKeys'),
        (make_account(Priority='1'), 'Tenants[1].Priority'),
        (make_account(Priority=True), 'Tenants[1].Priority'),
        (make_account(Priority=-1), 'Tenants[1].Priority'),
        (make_account(Priority=1.5), 'Tenants[1].Priority'),
        ('secret-4', 'Tenants[1] is of type str'),
        (None, 'Tenants[1] is of type NoneType'),
    ],
)
def test_invalid_account_rejects_the_text_and_names_the_place(account, place):
    assert place in find_fault(make_text(OTHER, account))


def test_accounts_that_are_no_list_reject_the_text():
    for value in ({}, {'a': ['secret-1']}, 'secret-1', 7, False):
        assert 'Tenants is of type' in find_fault(
            {**make_text(), 'Tenants': value}
        )


def test_route_is_public_only_if_it_says_so_clearly():
    # Guards against a route that a wrong value opens to everybody.
    for value in ('false', 1, [], {}):
        document = make_text(ACCOUNT, Public=value)
        assert 'Routes[0].Public' in find_fault(document)
    assert 'Routes[0].Priority' in find_fault(make_text(ACCOUNT, Priority=-1))
    for value in (True, False, None):
        text = documents.decode_text(make_text(ACCOUNT, Public=value))
        assert text.routes[0].is_public is bool(value)


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(
    byte_strategies.mutated_documents(make_text(ACCOUNT, OTHER, Public=False))
)
def test_text_with_one_odd_value_is_decoded_or_rejected(document):
    # Guards against an odd value that ends the thread which follows the
    # directory, or that makes a key belong to two accounts.
    try:
        accounts = documents.decode_text(document).accounts or {}
    except exceptions.UnreadableRecordError:
        return
    keys = [key for account in accounts.values() for key in account.keys]
    assert len(set(keys)) == len(keys)
    json.dumps(sorted(accounts))
