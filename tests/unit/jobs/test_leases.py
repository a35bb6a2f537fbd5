"""Duties: one holder at a time, whatever is repeated, late or paused."""

import hypothesis
import hypothesis.strategies as st

from lentildeal._internal.jobs import leases
from lentildeal._internal.jobs import records

DUTY = 'jobs/m'


def apply_all(book, found, now_s=0.0):
    for offset, record in found:
        book.apply(record, offset, now_s)


def test_first_of_two_claims_wins():
    # Guards against two holders after a race for a vacant duty.
    book = leases.LeaseTable()
    claims = [book.make_claim(DUTY, name, 1) for name in ('a', 'b')]
    apply_all(book, enumerate(claims))
    assert book.get(DUTY).holder == 'a'


def test_late_claim_does_not_depose_a_holder_that_renewed():
    # Guards against an append that is carried out seconds later.
    book = leases.LeaseTable()
    book.apply(book.make_claim(DUTY, 'a', 1), 0, 0.0)
    late = book.make_claim(DUTY, 'b', 1)
    book.apply(records.Renewal(((DUTY, 0),)), 1, 0.5)
    assert not book.apply(late, 2, 0.6)
    assert book.get(DUTY).holder == 'a'


def test_renewal_of_an_older_term_changes_nothing():
    # Guards against a paused holder that goes on renewing.
    book = leases.LeaseTable()
    book.apply(book.make_claim(DUTY, 'a', 1), 0, 0.0)
    book.apply(book.make_claim(DUTY, 'b', 1), 5, 3.0)
    book.apply(records.Renewal(((DUTY, 0),)), 6, 9.0)
    state = book.get(DUTY)
    assert (state.holder, state.term, state.seen_s) == ('b', 5, 3.0)


def test_resignation_makes_a_duty_vacant_at_once():
    # Guards against waiting for a time-out after a planned stop.
    book = leases.LeaseTable()
    book.apply(book.make_claim(DUTY, 'a', 1), 0, 0.0)
    assert book.apply(records.Resignation(DUTY, 0), 1, 0.1)
    assert is_vacant(book, now_s=0.2)


def test_resignation_of_an_older_term_changes_nothing():
    # Guards against a late resignation that deposes the next holder.
    book = leases.LeaseTable()
    book.apply(book.make_claim(DUTY, 'a', 1), 0, 0.0)
    book.apply(book.make_claim(DUTY, 'b', 1), 5, 3.0)
    assert not book.apply(records.Resignation(DUTY, 0), 6, 3.1)
    assert book.get(DUTY).holder == 'b'


def test_silence_during_an_outage_does_not_count():
    # Guards against claims by all daemons after an outage of the store.
    book = leases.LeaseTable()
    book.apply(book.make_claim(DUTY, 'a', 1), 0, 0.0)
    assert is_vacant(book, now_s=9.0)
    assert not is_vacant(book, now_s=9.0, heard_since_s=8.0)


def is_vacant(book, now_s, heard_since_s=0.0):
    return book.is_vacant(
        DUTY, now_s=now_s, heard_since_s=heard_since_s, timeout_s=2.0
    )


@hypothesis.given(st.data())
@hypothesis.settings(max_examples=100, deadline=None)
def test_all_readers_agree_and_terms_grow(data):
    # Guards against a fold that depends on when a daemon reads, and against
    # a fencing token that is not higher than the one before.
    writer = leases.LeaseTable()
    log, seen = [], []
    for offset in range(data.draw(st.integers(1, 30))):
        name = data.draw(st.sampled_from('abc'))
        kind = data.draw(st.sampled_from(('claim', 'old', 'renew', 'resign')))
        state = writer.get(DUTY)
        if kind == 'claim':
            record = writer.make_claim(DUTY, name, 1)
            seen.append(record)
        elif kind == 'old' and seen:
            record = data.draw(st.sampled_from(seen))
        elif kind == 'renew':
            record = records.Renewal(((DUTY, state.term),))
        else:
            record = records.Resignation(DUTY, state.term)
        before = state.term
        writer.apply(record, offset, 0.0)
        assert writer.get(DUTY).term >= before
        log.append((offset, record))
    reader = leases.LeaseTable()
    apply_all(reader, log, now_s=100.0)
    a, b = reader.get(DUTY), writer.get(DUTY)
    assert (a.holder, a.term, a.renewals) == (b.holder, b.term, b.renewals)
