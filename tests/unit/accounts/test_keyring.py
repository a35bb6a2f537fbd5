"""Look-up of accounts by key."""

import pytest

from lentildeal._internal.accounts import keyring
from tests.lib import job_builders

KEY = 'pihhacr-KEY 1'


@pytest.fixture
def keys():
    accounts = job_builders.make_accounts(a=[KEY, 'second'], b=['other'], c=[])
    return keyring.Keyring(accounts)


def test_each_key_of_an_account_finds_it(keys):
    found = [keys.find(key).name for key in (KEY, 'second', 'other')]
    assert found == ['a', 'a', 'b']


@pytest.mark.parametrize(
    'value',
    [
        '',
        KEY.lower(),
        KEY.upper(),
        f' {KEY}',
        f'{KEY} ',
        KEY[:-1],
        KEY + '1',
        f'{KEY},second',
        KEY.replace(' ', '  '),
        '\ud800',
        '\xe9',
    ],
)
def test_value_that_is_not_exactly_a_key_finds_nothing(keys, value):
    # Guards against a client that gets another account by a similar key.
    assert keys.find(value) is None


def test_keyring_does_not_keep_the_keys(keys):
    # Guards against keys in the output of a debugger or an error.
    assert KEY not in repr(vars(keys))
