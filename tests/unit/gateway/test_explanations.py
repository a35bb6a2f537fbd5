"""Explanations of requests that are not sent."""

import json

import pytest

from lentildeal._internal.commands import route_explain
from lentildeal._internal.gateway import explanations
from lentildeal._internal.models import deployment
from tests.lib import job_builders

ACCOUNTS = {
    'a': deployment.Account('a', frozenset({'secret-key'})),
    'none': deployment.Account('none', frozenset()),
}


@pytest.mark.parametrize(
    ('account', 'is_public', 'is_refused'),
    [
        ('a', False, False),
        ('none', False, True),
        ('unknown', False, True),
        ('secret-key', False, True),
        (None, False, True),
        (None, True, False),
    ],
)
def test_account_decides_whether_a_request_is_refused(
    account, is_public, is_refused
):
    # Guards against an explanation that says more than the daemon would do,
    # and against a key that is taken for the name of an account.
    route = job_builders.make_route(is_public=is_public)
    text = deployment.PublishedText(
        1, (route,), {}, deployment.IngressLimits(), ACCOUNTS
    )
    found = explanations.find_account_refusals(text, route, account)
    assert bool(found) is is_refused
    described = json.dumps([found, explanations.describe_route(route)])
    assert 'secret-key' not in described


def test_refusal_is_shown_with_its_reason():
    # Guards against a text for people that hides why a request is refused.
    document = {
        'host': 'h',
        'path': '/p',
        'replica': None,
        'replicas': [],
        'placed': False,
        'refusals': ['no route'],
    }
    assert route_explain.format_lines(document) == ['h/p', 'refused: no route']
