"""Value types of rollouts."""

import dataclasses
import typing

from lentildeal._internal.models import ids


@dataclasses.dataclass(frozen=True)
class Segment:
    """A run of tokens of one sample that one weight version produced.

    Attributes:
        version: Version that the engine reported for these tokens.
        start: Index of the first token, from 0.
        end: Index behind the last token.
    """

    version: ids.Version
    start: int
    end: int


@dataclasses.dataclass(frozen=True)
class Sample:
    """A finished sample.

    Attributes:
        sample_id: The same for all attempts.
        group: Group that the sample belongs to.
        index: Place in the group, from 0.
        text: Generated text.
        token_count: Number of generated tokens.
        segments: Token ranges by version, in order and without gaps.
        score: Score of the scoring service, None without one.
    """

    sample_id: ids.SampleId
    group: ids.GroupId
    index: int
    text: str
    token_count: int
    segments: typing.Tuple[Segment, ...]
    score: typing.Optional[float] = None

    @property
    def oldest_version(self) -> ids.Version:
        """Oldest weight version that produced any token."""
        return min(segment.version for segment in self.segments)


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The prompt of one group of samples."""

    group: ids.GroupId
    prompt: str


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """One attempt at a sample, handed to a worker.

    Attributes:
        sample_id: Sample to generate.
        attempt: Number of the attempt, from 1.
        prompt: Prompt text.
        max_tokens: Longest answer, in tokens.
        minimum_version: Oldest weight version that may start the sample.
    """

    sample_id: ids.SampleId
    attempt: int
    prompt: str
    max_tokens: int
    minimum_version: ids.Version
