"""Checks of the samples that a stand-in trainer received.

They rely on the generated text alone, not on what the daemons report.
"""

from __future__ import annotations

import typing

from standins import common
from standins import generation


class SampleChecker:
    """Checks received samples in the order of their events.

    Args:
        staleness_bound: Most versions by which a sample may be behind.
    """

    def __init__(self, staleness_bound: int) -> None:
        self._staleness_bound = staleness_bound
        self._sample_count = 0
        self.samples: list[dict] = []
        self.expected_count = 0
        self.duplicates: list[str] = []
        self.missing: list[str] = []
        self.unexpected: list[str] = []

    def add(
        self,
        sample: dict,
        current_version: int,
        expected: set[str],
        received: set[str],
    ) -> None:
        """Records one sample event.

        Args:
            sample: Sample as read from the stream.
            current_version: Version of the last ``version`` event.
            expected: Ids of all samples of the step.
            received: Ids received before; the sample's id is added.
        """
        self._sample_count += 1
        true_segments = generation.read_segments(sample['text'])
        labelled_segments = [
            [segment['version'], segment['end'] - segment['start']]
            for segment in sample['segments']
        ]
        entry = {
            'id': sample['id'],
            'order': self._sample_count,
            'time_s': common.now_s(),
            'current': current_version,
            'staleness': current_version
            - min(version for version, _ in true_segments),
            'labels': labelled_segments,
            'true': true_segments,
            'token_count': sample['token_count'],
            'text': sample['text'],
            'score': sample.get('score'),
        }
        entry['is_mislabelled'] = (
            labelled_segments != true_segments
            or sample['token_count']
            != sum(count for _, count in true_segments)
            or not _is_gapless(sample['segments'])
        )
        if sample['id'] in received:
            self.duplicates.append(sample['id'])
        if sample['id'] not in expected:
            self.unexpected.append(sample['id'])
        received.add(sample['id'])
        self.samples.append(entry)

    def end_step(self, expected: set[str], received: set[str]) -> None:
        """Records that the daemon declared the step complete."""
        self.expected_count += len(expected)
        self.missing.extend(sorted(expected - received))

    def summarize(self) -> dict:
        """Counts, and the ids of samples that violate a guarantee."""
        staleness = [entry['staleness'] for entry in self.samples]
        return {
            'asked': self.expected_count,
            'delivered': len(self.samples),
            'duplicates': self.duplicates,
            'missing': self.missing,
            'foreign': self.unexpected,
            'mislabelled': _list_flagged_ids(self.samples, 'is_mislabelled'),
            'over_stale': [
                entry['id']
                for entry in self.samples
                if entry['staleness'] > self._staleness_bound
            ],
            'mixed_versions': sum(
                len(entry['true']) > 1 for entry in self.samples
            ),
            'mean_staleness': sum(staleness) / max(1, len(staleness)),
            'most_staleness': max(staleness, default=0),
        }


def _list_flagged_ids(samples: typing.Iterable[dict], flag: str) -> list[str]:
    return [entry['id'] for entry in samples if entry[flag]]


def _is_gapless(segments: list[dict]) -> bool:
    end = 0
    for segment in segments:
        if segment['start'] != end:
            return False
        end = segment['end']
    return True
