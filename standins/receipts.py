"""What a stand-in trainer received, judged without the daemons' word."""

from __future__ import annotations

import typing

from standins import common
from standins import generation


class Receipts:
    """Received samples in the order of their events.

    Args:
        bound: Most versions by which a sample may be behind.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._order = 0
        self.samples: list[dict] = []
        self.asked = 0
        self.duplicates: list[str] = []
        self.missing: list[str] = []
        self.foreign: list[str] = []

    def add(
        self, sample: dict, current: int, expected: set[str], held: set[str]
    ) -> None:
        """Records one sample event.

        Args:
            sample: As read from the stream.
            current: Version current by the last ``version`` event.
            expected: Ids of the step.
            held: Ids received before; the sample's is added.
        """
        self._order += 1
        true = generation.read_segments(sample['text'])
        labels = [
            [segment['version'], segment['end'] - segment['start']]
            for segment in sample['segments']
        ]
        entry = {
            'id': sample['id'],
            'order': self._order,
            'time_s': common.now_s(),
            'current': current,
            'staleness': current - min(version for version, _ in true),
            'labels': labels,
            'true': true,
            'token_count': sample['token_count'],
            'text': sample['text'],
            'score': sample.get('score'),
        }
        entry['is_mislabelled'] = (
            labels != true
            or sample['token_count'] != sum(count for _, count in true)
            or not _is_gapless(sample['segments'])
        )
        if sample['id'] in held:
            self.duplicates.append(sample['id'])
        if sample['id'] not in expected:
            self.foreign.append(sample['id'])
        held.add(sample['id'])
        self.samples.append(entry)

    def end_step(self, expected: set[str], held: set[str]) -> None:
        """Records that the daemon declared the step whole."""
        self.asked += len(expected)
        self.missing.extend(sorted(expected - held))

    def summarize(self) -> dict:
        """Counts and the samples that break a promise."""
        staleness = [entry['staleness'] for entry in self.samples]
        return {
            'asked': self.asked,
            'delivered': len(self.samples),
            'duplicates': self.duplicates,
            'missing': self.missing,
            'foreign': self.foreign,
            'mislabelled': _ids(self.samples, 'is_mislabelled'),
            'over_stale': [
                entry['id']
                for entry in self.samples
                if entry['staleness'] > self._bound
            ],
            'mixed_versions': sum(
                len(entry['true']) > 1 for entry in self.samples
            ),
            'mean_staleness': sum(staleness) / max(1, len(staleness)),
            'most_staleness': max(staleness, default=0),
        }


def _ids(samples: typing.Iterable[dict], flag: str) -> list[str]:
    return [entry['id'] for entry in samples if entry[flag]]


def _is_gapless(segments: list[dict]) -> bool:
    end = 0
    for segment in segments:
        if segment['start'] != end:
            return False
        end = segment['end']
    return True
