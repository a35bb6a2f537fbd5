"""Tests of replica choice under load patterns."""

import collections

from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.models import deployment


def make_candidate(replica_id, load=0.0, penalty=0.0, is_local=True):
    return choice.Candidate(replica_id, load, penalty, is_local)


def test_least_loaded_replica_is_chosen():
    # Pattern: one replica is busier than the others.
    candidates = [make_candidate('busy', 0.8), make_candidate('idle', 0.1)]
    assert choice.choose(candidates, ()) == 'idle'


def test_failing_replica_is_avoided():
    # Pattern: a replica fails some of its requests and so looks idle.
    candidates = [
        make_candidate('failing', penalty=1.0),
        make_candidate('busy', 0.8),
    ]
    assert choice.choose(candidates, ()) == 'busy'


def test_own_domain_is_preferred_until_it_is_busier():
    # Pattern: equal load in all failure domains.
    near, far = make_candidate('near'), make_candidate('far', is_local=False)
    assert choice.choose([far, near], ()) == 'near'
    near = make_candidate('near', load=0.5)
    assert choice.choose([far, near], ()) == 'far'


def test_second_attempt_goes_to_another_replica():
    # Guards against a retry at the replica that has just failed.
    candidates = [make_candidate('a'), make_candidate('b')]
    assert choice.choose(candidates, {'a'}) == 'b'
    assert choice.choose(candidates, {'a', 'b'}) is None


def test_equal_replicas_share_the_load():
    # Guards against many daemons that choose the same replica.
    candidates = [make_candidate(name) for name in 'abc']
    counts = collections.Counter(
        choice.choose(candidates, ()) for _ in range(600)
    )
    assert min(counts.values()) > 120


def test_split_follows_the_weights():
    # Guards against requests to a service whose weight is 0.
    shares = [deployment.Share('a', 90), deployment.Share('b', 10)]
    found = [choice.choose_service(shares, n / 100) for n in range(100)]
    assert collections.Counter(found) == {'a': 90, 'b': 10}
    shares = [deployment.Share('a', 0), deployment.Share('b', 1)]
    assert choice.choose_service(shares, 0.0) == 'b'


def test_connection_headers_are_dropped():
    # Guards against connection headers of a caller that reach a replica.
    headers = [
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('X-Kept', 'a'),
        ('X-Kept', 'b'),
    ]
    assert calls.drop_connection_headers(headers) == (
        ('X-Kept', 'a'),
        ('X-Kept', 'b'),
    )
