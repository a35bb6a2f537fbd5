"""Time limits of appends, by patterns of the store's answers."""

from lentildeal._internal.jobs import answer_time


def test_lost_answers_are_met_soon_and_then_more_patiently():
    # Pattern: the store loses some answers, or all of them.
    found = answer_time.AnswerTime()
    limits = []
    for _ in range(5):
        limits.append(found.limit_s(0))
        found.note_silence()
    assert limits[0] == answer_time.SHORTEST_S
    assert limits == sorted(limits)
    assert limits[-1] == answer_time.LONGEST_S
    found.note_answer(0.004)
    assert found.limit_s(0) == answer_time.SHORTEST_S


def test_slow_store_is_not_filled_with_repeats():
    # Pattern: answers take 60 times as long and wait for each other.
    found = answer_time.AnswerTime()
    for _ in range(10):
        found.note_answer(0.24)
    assert found.limit_s(0) > 1.5


def test_large_append_gets_the_time_of_a_small_link():
    # Guards against endless repeats of a megabyte over 21 Mbit/s.
    found = answer_time.AnswerTime()
    assert found.limit_s(1_000_000) > 1_000_000 / 2_600_000 + 0.4
