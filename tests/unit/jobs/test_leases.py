"""Leases have one holder despite duplicate, late or paused writers."""

import hypothesis
import hypothesis.strategies as st

from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records

LEASE = 'jobs/m'


def apply_all(table, found, now_s=0.0):
    for offset, record in found:
        table.apply(record, offset, now_s)


def test_first_of_two_claims_wins():
    # Guards against two holders after a race for a vacant lease.
    table = leases.LeaseTable()
    claims = [table.make_claim(LEASE, name, 1) for name in ('a', 'b')]
    apply_all(table, enumerate(claims))
    assert table.get(LEASE).holder == 'a'


def test_late_claim_does_not_replace_a_holder_that_renewed():
    # Guards against a claim that the store appends seconds later.
    table = leases.LeaseTable()
    table.apply(table.make_claim(LEASE, 'a', 1), 0, 0.0)
    late = table.make_claim(LEASE, 'b', 1)
    table.apply(records.Renewal(((LEASE, 0),)), 1, 0.5)
    assert not table.apply(late, 2, 0.6)
    assert table.get(LEASE).holder == 'a'


def test_renewal_of_an_older_term_changes_nothing():
    # Guards against a paused holder that continues to renew.
    table = leases.LeaseTable()
    table.apply(table.make_claim(LEASE, 'a', 1), 0, 0.0)
    table.apply(table.make_claim(LEASE, 'b', 1), 5, 3.0)
    table.apply(records.Renewal(((LEASE, 0),)), 6, 9.0)
    state = table.get(LEASE)
    assert (state.holder, state.term, state.seen_s) == ('b', 5, 3.0)


def test_resignation_makes_a_lease_vacant_at_once():
    # Guards against waiting for the timeout after a planned stop.
    table = leases.LeaseTable()
    table.apply(table.make_claim(LEASE, 'a', 1), 0, 0.0)
    assert table.apply(records.Resignation(LEASE, 0), 1, 0.1)
    assert is_vacant(table, now_s=0.2)


def test_resignation_of_an_older_term_changes_nothing():
    # Guards against a late resignation that ends the lease of the next holder.
    table = leases.LeaseTable()
    table.apply(table.make_claim(LEASE, 'a', 1), 0, 0.0)
    table.apply(table.make_claim(LEASE, 'b', 1), 5, 3.0)
    assert not table.apply(records.Resignation(LEASE, 0), 6, 3.1)
    assert table.get(LEASE).holder == 'b'


def test_missing_renewals_during_an_outage_are_ignored():
    # Guards against claims by all daemons after an outage of the store.
    table = leases.LeaseTable()
    table.apply(table.make_claim(LEASE, 'a', 1), 0, 0.0)
    assert is_vacant(table, now_s=9.0)
    assert not is_vacant(table, now_s=9.0, connected_since_s=8.0)


def is_vacant(table, now_s, connected_since_s=0.0):
    return table.is_vacant(
        LEASE, now_s=now_s, connected_since_s=connected_since_s, timeout_s=2.0
    )


@hypothesis.given(st.data())
@hypothesis.settings(max_examples=100, deadline=None)
def test_all_readers_agree_and_terms_grow(data):
    # Guards against a state that depends on when a daemon reads, and against
    # a fencing token that is not higher than the previous one.
    writer = leases.LeaseTable()
    log, seen = [], []
    for offset in range(data.draw(st.integers(1, 30))):
        name = data.draw(st.sampled_from('abc'))
        kind = data.draw(st.sampled_from(('claim', 'old', 'renew', 'resign')))
        state = writer.get(LEASE)
        if kind == 'claim':
            record = writer.make_claim(LEASE, name, 1)
            seen.append(record)
        elif kind == 'old' and seen:
            record = data.draw(st.sampled_from(seen))
        elif kind == 'renew':
            record = records.Renewal(((LEASE, state.term),))
        else:
            record = records.Resignation(LEASE, state.term)
        before = state.term
        writer.apply(record, offset, 0.0)
        assert writer.get(LEASE).term >= before
        log.append((offset, record))
    reader = leases.LeaseTable()
    apply_all(reader, log, now_s=100.0)
    a, b = reader.get(LEASE), writer.get(LEASE)
    assert (a.holder, a.term, a.renewals) == (b.holder, b.term, b.renewals)
