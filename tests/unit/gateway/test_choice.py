"""Where live calls go, by patterns of load."""

import collections

from lentildeal._internal.gateway import calls
from lentildeal._internal.gateway import choice
from lentildeal._internal.models import deployment


def make_option(replica_id, load=0.0, penalty=0.0, is_local=True):
    return choice.Option(replica_id, load, penalty, is_local)


def test_least_loaded_replica_is_chosen():
    # Pattern: one replica is busier than the others.
    options = [make_option('busy', 0.8), make_option('idle', 0.1)]
    assert choice.choose(options, ()) == 'idle'


def test_failing_replica_is_avoided():
    # Pattern: a replica fails part of its requests while it looks idle.
    options = [make_option('grey', penalty=1.0), make_option('busy', 0.8)]
    assert choice.choose(options, ()) == 'busy'


def test_own_domain_is_preferred_until_it_is_busier():
    # Pattern: equal load in all failure domains.
    near, far = make_option('near'), make_option('far', is_local=False)
    assert choice.choose([far, near], ()) == 'near'
    near = make_option('near', load=0.5)
    assert choice.choose([far, near], ()) == 'far'


def test_second_attempt_goes_elsewhere():
    # Guards against a retry at the replica that has just failed.
    options = [make_option('a'), make_option('b')]
    assert choice.choose(options, {'a'}) == 'b'
    assert choice.choose(options, {'a', 'b'}) is None


def test_equal_replicas_share_the_load():
    # Guards against herding of many daemons on one replica.
    options = [make_option(name) for name in 'abc']
    counts = collections.Counter(
        choice.choose(options, ()) for _ in range(600)
    )
    assert min(counts.values()) > 120


def test_split_follows_the_weights():
    # Guards against a service that gets requests without a weight.
    shares = [deployment.Share('a', 90), deployment.Share('b', 10)]
    found = [choice.choose_service(shares, n / 100) for n in range(100)]
    assert collections.Counter(found) == {'a': 90, 'b': 10}
    shares = [deployment.Share('a', 0), deployment.Share('b', 1)]
    assert choice.choose_service(shares, 0.0) == 'b'


def test_headers_of_one_connection_are_left_out():
    # Guards against a caller's connection options that reach a replica.
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
