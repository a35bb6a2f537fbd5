"""Records steps for the objective of their trainer."""

from __future__ import annotations

import collections
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import outcomes
from lentildeal._internal.models import text as text_module
from lentildeal._internal.utils import clock


class StepRecorder:
    """Duration and causes of waiting of one attachment.

    The duration starts at the attachment, because no daemon knows when a
    step was opened whose coordinator was lost.
    """

    def __init__(
        self,
        kernel: typing.Any,
        name: ids.TrainerName,
        trainer: text_module.Trainer,
    ) -> None:
        self._kernel = kernel
        self._name = name
        self._trainer = trainer
        self._started_s = self._recorded_s = clock.monotonic_s()
        self._causes: collections.Counter[outcomes.Cause] = (
            collections.Counter()
        )

    def record_cause(self, cause: typing.Optional[outcomes.Cause]) -> None:
        """Adds the time since the last call to a cause of waiting."""
        now_s = clock.monotonic_s()
        if cause is not None:
            self._causes[cause] += now_s - self._recorded_s
        self._recorded_s = now_s

    def record(self, is_complete: bool, idle_s: float) -> None:
        """Records the end of the attachment.

        Args:
            is_complete: Whether every sample was delivered. An incomplete
                attachment is recorded only if it is already late, because
                the step may continue under another attachment.
            idle_s: Time without a sample to deliver, in seconds.
        """
        burn = self._kernel.find_plugin('burn')
        seconds = clock.monotonic_s() - self._started_s
        is_late = seconds > self._trainer.objective.step_seconds
        if burn is None or not (is_complete or is_late):
            return
        cause = max(self._causes, key=self._causes.get, default=None)
        burn.record_step(
            self._name,
            is_complete and not is_late,
            seconds,
            idle_s,
            cause.value if cause else None,
        )
