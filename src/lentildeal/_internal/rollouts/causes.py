"""Determines why a step is waiting."""

from __future__ import annotations

import collections
import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.rollouts import entries
from lentildeal._internal.rollouts import steps

# Age at which a cause that an owner reported is ignored, in seconds.
REPORT_LIFETIME_S = 5.0


@dataclasses.dataclass(frozen=True)
class StepView:
    """One open step, for the status report.

    Attributes:
        trainer: Trainer that is attached.
        step: Step that is open.
        requested: Samples to deliver under this attachment.
        delivered: Samples written to the stream.
        running: Samples that engines are generating.
        waiting: Samples that no engine is generating.
        cause: Why the step is waiting, None if it is complete.
    """

    trainer: ids.TrainerName
    step: ids.StepNumber
    requested: int
    delivered: int
    running: int
    waiting: int
    cause: typing.Optional[outcomes.Cause]


class OwnerCauses:
    """Causes that owners report when their replicas do not pull."""

    def __init__(self) -> None:
        self._reports: dict[ids.InstanceId, tuple[str, float]] = {}

    def record_report(
        self, instance: ids.InstanceId, cause: str, now_s: float
    ) -> None:
        """Records the cause of an owner, "" if its replicas pull."""
        self._reports[instance] = (cause, now_s)

    def find_most_frequent(
        self, now_s: float
    ) -> typing.Optional[outcomes.Cause]:
        """Finds the most frequent cause of recent reports."""
        counts = collections.Counter(
            cause
            for cause, last_report_s in self._reports.values()
            if cause and now_s - last_report_s <= REPORT_LIFETIME_S
        )
        if not counts:
            return None
        return outcomes.Cause(counts.most_common(1)[0][0])

    def has_recent_report(self, now_s: float) -> bool:
        """Whether any owner has reported recently."""
        return any(
            now_s - last_report_s <= REPORT_LIFETIME_S
            for _, last_report_s in self._reports.values()
        )


def find_cause(
    state: steps.StepState, owners: OwnerCauses, now_s: float
) -> typing.Optional[outcomes.Cause]:
    """Determines what a step is waiting for.

    Returns:
        None if the step is complete; every incomplete step has a cause.
    """
    if state.is_complete:
        return None
    if state.is_generation_paused:
        return outcomes.Cause.SCORING
    if state.count_in_state(entries.SampleState.WAITING):
        reported = owners.find_most_frequent(now_s)
        if reported is not None:
            return reported
        if owners.has_recent_report(now_s):
            return outcomes.Cause.TARGET_FULL
        return outcomes.Cause.OWNER_UNREACHABLE
    if state.count_in_state(entries.SampleState.RUNNING):
        if any(a.entry.is_stale_rerun for a in state.attempts):
            return outcomes.Cause.STALE
        return outcomes.Cause.STRAGGLER
    return outcomes.Cause.SCORING
