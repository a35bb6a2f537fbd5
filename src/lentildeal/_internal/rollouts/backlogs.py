"""Backlogs that coordinators have announced to an owner of replicas."""

from __future__ import annotations

import dataclasses
import typing

from lentildeal._internal.models import ids
from lentildeal._internal.models import text as text_module
from lentildeal._internal.rollouts import messages
from lentildeal._internal.routing import fairness

GetText = typing.Callable[[], typing.Optional[text_module.FederationText]]
# Weight of a club or trainer that is not in the published text.
UNLISTED_WEIGHT = 0.001


@dataclasses.dataclass
class KnownBacklog:
    """Latest notice of a step and when it may be pulled from again.

    Attributes:
        notice: Latest notice.
        coordinator: Instance that sent it.
        not_before_s: Monotonic time by replica before which the replica does
            not pull from the step.
    """

    notice: messages.Backlog
    coordinator: ids.InstanceId
    not_before_s: dict[ids.ReplicaAddress, float] = dataclasses.field(
        default_factory=dict
    )


class BacklogTable:
    """Backlogs by step, with a weighted fair choice between trainers.

    Slots are divided between clubs by weight, and the slots of a club
    between its trainers by their share of the club. Unused shares go to the
    other clubs or trainers.
    """

    def __init__(self, get_text: GetText) -> None:
        self._get_text = get_text
        self._known: dict[messages.StepKey, KnownBacklog] = {}
        # Separate shares for each model: engines of different models are
        # not competed for, and a pick among only some of the backlogged
        # clubs would end the credit of the others.
        self._club_shares: dict[ids.ModelName, fairness.FairShare] = {}
        self._trainer_shares: dict[tuple, fairness.FairShare] = {}

    def __iter__(self) -> typing.Iterator[KnownBacklog]:
        return iter(list(self._known.values()))

    def record_notice(
        self, coordinator: ids.InstanceId, notice: messages.Backlog
    ) -> None:
        """Records a notice unless a later attachment is known."""
        for key in list(self._known):
            if key.trainer == notice.key.trainer:
                if key.number > notice.key.number:
                    return
                del self._known[key]
        if notice.count:
            self._known[notice.key] = KnownBacklog(notice, coordinator)

    def drop_coordinator(self, coordinator: ids.InstanceId) -> None:
        """Removes the backlogs of a lost coordinator."""
        for known in self:
            if known.coordinator == coordinator:
                del self._known[known.notice.key]

    def drop_step(self, key: messages.StepKey) -> None:
        """Removes the backlog of a step that is no longer served."""
        self._known.pop(key, None)

    def delay_pulls(
        self,
        key: messages.StepKey,
        address: ids.ReplicaAddress,
        until_s: float,
    ) -> None:
        """Delays pulls of a replica until a time or the next notice."""
        if key in self._known:
            self._known[key].not_before_s[address] = until_s

    def choose_backlog(
        self,
        address: ids.ReplicaAddress,
        model: ids.ModelName,
        version: ids.Version,
        now_s: float,
    ) -> typing.Optional[KnownBacklog]:
        """Chooses the backlog that a replica pulls from next."""
        ready = [
            known
            for known in self
            if known.notice.model == model
            and known.notice.minimum_version <= version
            and known.not_before_s.get(address, 0.0) <= now_s
        ]
        if not ready:
            return None
        clubs = {known.notice.club for known in ready}
        club = self._get_club_shares(model).pick(clubs)
        by_trainer = {
            known.notice.key.trainer: known
            for known in ready
            if known.notice.club == club
        }
        return by_trainer[
            self._get_trainer_shares(model, club).pick(by_trainer)
        ]

    def is_newer_version_needed(
        self, model: ids.ModelName, version: ids.Version
    ) -> bool:
        """Whether a backlog of the model requires a newer version."""
        return any(
            known.notice.model == model
            and known.notice.minimum_version > version
            for known in self
        )

    def charge(self, notice: messages.Backlog, tokens: float) -> None:
        """Charges tokens; a negative number corrects an earlier charge."""
        model, club = notice.model, notice.club
        self._get_club_shares(model).charge(club, tokens)
        shares = self._get_trainer_shares(model, club)
        shares.charge(notice.key.trainer, tokens)

    def _get_club_shares(self, model: ids.ModelName) -> fairness.FairShare:
        if model not in self._club_shares:
            self._club_shares[model] = fairness.FairShare(self._weight_of_club)
        return self._club_shares[model]

    def _get_trainer_shares(
        self, model: ids.ModelName, club: ids.ClubName
    ) -> fairness.FairShare:
        if (model, club) not in self._trainer_shares:
            shares = fairness.FairShare(self._weight_of_trainer)
            self._trainer_shares[model, club] = shares
        return self._trainer_shares[model, club]

    def _weight_of_club(self, club: ids.ClubName) -> float:
        text = self._get_text()
        if text is None or club not in text.clubs:
            return UNLISTED_WEIGHT
        return text.clubs[club].weight

    def _weight_of_trainer(self, trainer: ids.TrainerName) -> float:
        text = self._get_text()
        if text is None or trainer not in text.trainers:
            return UNLISTED_WEIGHT
        return text.trainers[trainer].share_of_club
