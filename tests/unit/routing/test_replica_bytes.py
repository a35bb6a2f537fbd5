"""Bytes of requests in progress at replicas."""

from lentildeal._internal.routing import replica_bytes


def test_many_large_bodies_at_once_do_not_all_get_one_replica():
    """Guards against a replica whose memory is used up."""
    limit = replica_bytes.ReplicaBytes(100)
    with limit.track('r1', 60):
        assert not limit.has_room('r1', 60)
        assert limit.has_room('r1', 40)
        assert limit.has_room('r2', 60)
    assert limit.has_room('r1', 60)


def test_single_body_over_the_bound_is_placed():
    """Guards against a legal request that no replica may get."""
    assert replica_bytes.ReplicaBytes(100).has_room('r1', 1000)


def test_requests_that_failed_are_not_counted_on():
    """Guards against a replica that gets nothing after errors."""
    limit = replica_bytes.ReplicaBytes(100)
    try:
        with limit.track('r1', 90), limit.track('r1', 10):
            raise ValueError
    except ValueError:
        pass
    assert limit.has_room('r1', 100)


def test_requests_without_a_body_end_independently():
    """Guards against an error at the end of the second of two requests.

    Its answer was lost, and its caller waited until its deadline.
    """
    limit = replica_bytes.ReplicaBytes(100)
    with limit.track('r1', 0):
        with limit.track('r1', 0):
            pass
        with limit.track('r1', 0):
            assert limit.has_room('r1', 1000)
    assert limit.has_room('r1', 1000)
