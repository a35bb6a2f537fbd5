"""Comparison of two scores."""

from bench import scores


def make_days(**worths):
    return {
        name: {'name': name, 'slot': name.partition('_')[0], 'G': worth}
        for name, worth in worths.items()
    }


def test_days_of_either_score_are_listed_and_common_ones_averaged():
    # Guards against a level that seems to hold as a day is missing.
    rows = scores.format_rows(
        make_days(quiet_1=0.9, trouble_1=0.5, trouble_2=0.7),
        make_days(quiet_1=0.8, trouble_1=0.6, scale_1=0.4),
    )
    assert [row.split() for row in rows[1:]] == [
        ['quiet_1', '0.900', '0.800', '-0.100'],
        ['scale_1', '-', '0.400'],
        ['trouble_1', '0.500', '0.600', '+0.100'],
        ['trouble_2', '0.700', '-'],
        ['mean,', 'without', 'quiet', '0.500', '0.600', '+0.100'],
    ]
