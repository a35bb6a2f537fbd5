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


def make_claims(table, *holders):
    """Records of one append by which holders claim the lease in turn."""
    return [
        record
        for holder in holders
        for record in (
            table.make_basis(),
            table.make_claim(LEASE, holder, 1),
        )
    ]


def test_claim_takes_effect_only_on_what_its_claimant_has_read():
    # Guards against two holders after a race for a vacant lease, and against
    # a claim that the store appends after the holder has renewed.
    table = leases.LeaseTable()
    late = make_claims(table, 'c')
    apply_all(table, enumerate(make_claims(table, 'a', 'b')))
    assert table.get(LEASE).holder == 'a'
    table.apply(records.Renewal(((LEASE, 1),)), 4, 0.0)
    apply_all(table, enumerate(late, 5))
    assert table.get(LEASE).holder == 'a'
    apply_all(table, enumerate(make_claims(table, 'd'), 7))
    assert (table.get(LEASE).holder, table.get(LEASE).term) == ('d', 8)


def test_lease_whose_claim_has_expired_is_not_vacant():
    # Guards against a process that starts when the store has dropped the
    # claim, and that claims the lease of a live holder.
    table = leases.LeaseTable()
    table.skip_to(500)
    assert not is_vacant(table, now_s=1.0)
    table.apply(records.Renewal(((LEASE, 3),)), 501, 1.5)
    state = table.get(LEASE)
    assert (state.term, state.holder) == (3, leases.UNKNOWN_HOLDER)
    assert not is_vacant(table, now_s=3.4)
    assert is_vacant(table, now_s=3.6)


def test_lease_without_any_record_is_vacant_after_the_timeout():
    # Guards against leases that nobody claims after a stop of all daemons that
    # was longer than the retention of the store.
    table = leases.LeaseTable()
    table.skip_to(500)
    assert is_vacant(table, now_s=2.1)
    apply_all(table, enumerate(make_claims(table, 'a'), 500))
    assert table.get(LEASE).holder == 'a'


def test_claim_whose_basis_was_not_read_is_decided_by_renewals():
    # Guards against a reader that takes the loser of a race for the holder,
    # as it starts between the two claims.
    full = leases.LeaseTable()
    log = list(enumerate(make_claims(full, 'a', 'b')))
    log.append((4, records.Renewal(((LEASE, 1),))))
    reader = leases.LeaseTable()
    reader.skip_to(2)
    apply_all(full, log)
    apply_all(reader, log[2:])
    assert full.get(LEASE).holder == 'a'
    assert reader.get(LEASE).term == full.get(LEASE).term == 1


class Process:
    """A daemon that has read the log from some offset up to another."""

    def __init__(self, name, log, first):
        self.name = name
        self.table = leases.LeaseTable()
        self.next = first
        self._log = log
        if first:
            self.table.skip_to(first)

    @property
    def state(self):
        return self.table.get(LEASE)

    @property
    def believes_to_hold(self):
        return self.state.holder == self.name

    @property
    def sees_vacancy(self):
        return is_vacant(self.table, now_s=0.0)

    def read(self, count=None):
        until = len(self._log) if count is None else self.next + count
        for record in self._log[self.next : until]:
            self.table.apply(record, self.next, 0.0)
            self.next += 1

    def make_claims(self):
        return make_claims(self.table, self.name)

    def renew(self):
        self._log.append(records.Renewal(((LEASE, self.state.term),)))


@hypothesis.given(st.data())
@hypothesis.settings(max_examples=300, deadline=None)
def test_processes_that_start_at_any_record_agree_on_the_holder(data):
    """Guards against a second holder after the claim has left the log.

    Processes start at a record that the store still has, end, read late and
    claim what they see as vacant; the store appends some claims late. All have
    read the last records before a lease counts as expired.
    """
    log, processes, late = [], [], []
    actions = ('start', 'end', 'read', 'claim', 'delay', 'append', 'renew')
    for number in range(data.draw(st.integers(2, 30))):
        action = data.draw(st.sampled_from(actions))
        if action == 'start' or not processes:
            first = data.draw(st.integers(0, len(log)))
            processes.append(Process(f'p{number}', log, first))
            processes[-1].read()
            continue
        if action == 'append':
            log.extend(late.pop() if late else ())
            continue
        process = data.draw(st.sampled_from(processes))
        if action == 'end':
            processes.remove(process)
        elif action == 'read':
            process.read(data.draw(st.integers(1, 3)))
        elif action == 'renew' and process.believes_to_hold:
            process.renew()
        elif action in ('claim', 'delay'):
            if not process.sees_vacancy:
                for other in processes:
                    other.read()
            if any(p.believes_to_hold for p in processes):
                continue
            if action == 'claim':
                log.extend(process.make_claims())
            else:
                late.append(process.make_claims())
    for process in processes:
        process.read()
    holders = [p for p in processes if p.believes_to_hold]
    assert len(holders) <= 1
    for holder in holders:
        holder.renew()
        for process in processes:
            process.read()
            assert process.state.term == holder.state.term
