"""Duties: leases that all daemons derive from the work log.

A claim takes effect if it names the term and the renewals that the log shows
at its place. Of several claims the first in the log wins, and a claim that is
carried out late, after the holder has renewed, has no effect.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids

NO_TERM = ids.Term(-1)


@dataclasses.dataclass
class LeaseState:
    """Holder of a duty as the log shows it."""

    term: ids.Term = NO_TERM
    renewals: int = 0
    holder: typing.Optional[ids.InstanceId] = None
    incarnation: int = 0
    seen_s: float = -math.inf


class LeaseTable:
    """All duties, from the records read so far."""

    def __init__(self) -> None:
        self._leases: dict[ids.LeaseName, LeaseState] = {}

    def get(self, lease_name: ids.LeaseName) -> LeaseState:
        """State of a duty, vacant if it was never claimed."""
        return self._leases.setdefault(lease_name, LeaseState())

    def apply(
        self, record: records.Record, offset: ids.Offset, now_s: float
    ) -> bool:
        """Takes in a record.

        Args:
            record: Record of the work log.
            offset: Its offset.
            now_s: When it was read, by the clock that silence is measured
                with.

        Returns:
            Whether the holder of a duty changed.
        """
        if isinstance(record, records.Claim):
            return self._apply_claim(record, offset, now_s)
        if isinstance(record, records.Renewal):
            for lease_name, term in record.leases:
                state = self.get(lease_name)
                if state.term == term and state.holder is not None:
                    state.renewals += 1
                    state.seen_s = now_s
            return False
        if isinstance(record, records.Resignation):
            state = self.get(record.lease_name)
            if state.term != record.term or state.holder is None:
                return False
            state.holder = None
            # A claim that was made before the resignation must not win over
            # the knowledge that the duty is vacant.
            state.renewals += 1
            state.seen_s = now_s
            return True
        return False

    def is_vacant(
        self,
        lease_name: ids.LeaseName,
        *,
        now_s: float,
        connected_since_s: float,
        timeout_s: float,
    ) -> bool:
        """Whether a duty may be claimed.

        Args:
            duty: Name of the duty.
            now_s: Present time.
            heard_since_s: Since when the log has been read without a gap;
                silence before that says nothing about the holder.
            timeout_s: Silence after which the holder counts as gone.
        """
        state = self.get(lease_name)
        if state.holder is None:
            return True
        return now_s - max(state.seen_s, connected_since_s) > timeout_s

    def make_claim(
        self,
        lease_name: ids.LeaseName,
        holder: ids.InstanceId,
        incarnation: int,
    ) -> records.Claim:
        """Makes the claim that takes effect if nothing changes first."""
        state = self.get(lease_name)
        return records.Claim(
            lease_name, state.term, state.renewals, holder, incarnation
        )

    def _apply_claim(
        self, claim: records.Claim, offset: ids.Offset, now_s: float
    ) -> bool:
        state = self.get(claim.lease_name)
        seen = (state.term, state.renewals)
        if seen != (claim.previous_term, claim.previous_renewals):
            return False
        self._leases[claim.lease_name] = LeaseState(
            ids.Term(offset), 0, claim.holder, claim.incarnation, now_s
        )
        return True
