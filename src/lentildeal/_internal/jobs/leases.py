"""Leases, which every daemon derives from the work log.

A claim takes effect only if it names the term and the number of renewals that
precede it in the log. The first of several claims in the log wins, and a claim
that is appended late, after the holder has renewed, has no effect.
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
    """State of a lease according to the log.

    Attributes:
        term: Offset of the claim.
        renewals: Renewals and resignations since the claim.
        holder: Instance that holds the lease, None if it is vacant.
        incarnation: Process of the holder.
        seen_s: When the last record of the holder was read.
        resigned_holder: Instance that resigned from the term, None if it has
            not.
    """

    term: ids.Term = NO_TERM
    renewals: int = 0
    holder: typing.Optional[ids.InstanceId] = None
    incarnation: int = 0
    seen_s: float = -math.inf
    resigned_holder: typing.Optional[ids.InstanceId] = None


class LeaseTable:
    """All leases, according to the records read so far."""

    def __init__(self) -> None:
        self._leases: dict[ids.LeaseName, LeaseState] = {}

    def get(self, lease_name: ids.LeaseName) -> LeaseState:
        """State of a lease, vacant if it was never claimed."""
        return self._leases.setdefault(lease_name, LeaseState())

    def apply(
        self, record: records.Record, offset: ids.Offset, now_s: float
    ) -> bool:
        """Applies a record.

        Args:
            record: Record of the work log.
            offset: Its offset.
            now_s: When it was read, by the clock that measures the timeout
                of the holder.

        Returns:
            Whether the holder of a lease changed.
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
            state.resigned_holder, state.holder = state.holder, None
            # A claim made before the resignation must not take effect after
            # it.
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
        """Whether a lease may be claimed.

        Args:
            lease_name: Name of the lease.
            now_s: Current time.
            heard_since_s: Since when the log has been read without a gap;
                renewals missing before that are ignored.
            timeout_s: Time without a renewal after which the holder counts
                as failed.
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
        """Makes a claim that takes effect if the state does not change."""
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
