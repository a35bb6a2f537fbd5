"""Which jobs a sender may see."""

import pytest

from lentildeal._internal.accounts import job_access
from tests.lib import job_builders

ACCOUNTS = job_builders.make_accounts(a=['key-a'], b=['key-b'])
PRIVATE = job_builders.make_published_text(accounts=ACCOUNTS)
PUBLIC = job_builders.make_published_text(
    job_builders.make_route(is_public=True), accounts=ACCOUNTS
)
OPEN = job_builders.make_published_text()


@pytest.mark.parametrize(
    'text, owner, sender, expected',
    [
        (PRIVATE, 'a', 'a', True),
        (PRIVATE, 'a', 'b', False),
        (PRIVATE, 'a', None, False),
        # The route became public after the job was submitted.
        (PUBLIC, 'a', 'b', False),
        (PUBLIC, 'a', None, False),
        (PUBLIC, None, None, True),
        (PUBLIC, None, 'b', True),
        # The job was submitted before the text had accounts.
        (PRIVATE, None, 'b', True),
        (PRIVATE, None, None, False),
        (OPEN, None, None, True),
        (OPEN, 'a', None, True),
    ],
)
def test_sender_sees_jobs_of_its_account(text, owner, sender, expected):
    head = job_builders.make_head(account=owner)
    assert job_access.may_see(text, sender, head) is expected


def test_jobs_can_be_seen_without_a_key_on_public_routes_only():
    assert job_access.needs_key(PRIVATE)
    assert not job_access.needs_key(PUBLIC)
    assert not job_access.needs_key(OPEN)
