"""How old a text may be and whether it can be read anew."""

import pytest

from lentildeal._internal.directory import text_reads


class Clock:
    """Time that the test sets."""

    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def now():
    return Clock()


@pytest.fixture
def reads(now):
    return text_reads.TextReads(now)


def measure(reads):
    return reads.measure(reads.now())


def test_text_is_as_old_as_the_start_of_its_read(now, reads):
    # Guards against a daemon that was frozen while an answer waited for it.
    assert measure(reads).is_old
    reads.record_success(now.now_s - 1.0)
    assert measure(reads).age_s == 1.0
    now.now_s += 5.0
    reads.record_success(now.now_s - 6.5)
    assert measure(reads).age_s == 6.0


def test_failed_read_counts_until_a_later_read_succeeds(now, reads):
    reads.record_success(now.now_s)
    now.now_s += 5.0
    reads.record_failure()
    assert measure(reads).failed_age_s == 0.0
    # The answer to an earlier read arrived late.
    reads.record_success(now.now_s - 6.0)
    assert measure(reads).failed_age_s == 0.0
    now.now_s += 1.0
    assert measure(reads).failed_age_s == 1.0
    reads.record_success(now.now_s)
    assert measure(reads).failed_age_s is None


def test_read_without_an_answer_holds_requests_only_once(now, reads):
    # Guards against a wait of every call at a daemon that is cut off.
    reads.record_success(now.now_s)
    reads.record_start()
    now.now_s += text_reads.READ_WAIT_S / 2
    assert measure(reads).failed_age_s is None
    now.now_s += text_reads.READ_WAIT_S / 2
    assert measure(reads).failed_age_s == 0.0
    reads.record_end()
    assert measure(reads).failed_age_s is None


def test_read_that_began_after_a_request_found_the_newest_text(now, reads):
    # Guards against 503 for every unknown key while reads are slow.
    arrived_s = now.now_s
    now.now_s += 0.1
    started_s = reads.record_start()
    now.now_s += 5.0
    reads.record_success(started_s)
    reads.record_end()
    assert reads.measure(arrived_s).age_s == 0.0
    assert reads.measure(now.now_s).age_s == 5.0
