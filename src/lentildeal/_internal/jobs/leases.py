"""Leases, which every daemon derives from the work log.

A claim takes effect only if no other record has changed or confirmed the lease
since the records that the claimant had read. The first of several claims in
the log wins, and a claim that is appended late, after the holder has renewed,
has no effect.

The store drops old records, so the claim of a lease in force may be gone. A
renewal therefore also tells a daemon that has not read the claim that the
lease is held. Daemons that have read different parts of the log agree once the
holder has renewed: terms only grow, and a daemon renews only after its claim
took effect.
"""

from __future__ import annotations

import dataclasses
import math
import typing

from lentildeal._internal.jobs import records
from lentildeal._internal.models import ids

NO_TERM = ids.Term(-1)
NO_OFFSET = ids.Offset(-1)
# Holder of a lease whose claim was not read.
UNKNOWN_HOLDER = ids.InstanceId('')


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
        confirmed_at: Offset of the last record that changed or confirmed the
            state.
    """

    term: ids.Term = NO_TERM
    renewals: int = 0
    holder: typing.Optional[ids.InstanceId] = None
    incarnation: int = 0
    seen_s: float = -math.inf
    resigned_holder: typing.Optional[ids.InstanceId] = None
    confirmed_at: ids.Offset = NO_OFFSET

    def confirm(self, offset: ids.Offset, now_s: float) -> None:
        """Applies a renewal or a resignation of the holder."""
        self.renewals += 1
        self.seen_s = now_s
        self.confirmed_at = offset


class LeaseTable:
    """All leases, according to the records read so far."""

    def __init__(self) -> None:
        self._leases: dict[ids.LeaseName, LeaseState] = {}
        # All records from here on were read.
        self._read_from = ids.Offset(0)
        self._read_until = NO_OFFSET
        # What the claimant of a claim at the second offset had read.
        self._basis = NO_OFFSET
        self._basis_claim = NO_OFFSET

    def get(self, lease_name: ids.LeaseName) -> LeaseState:
        """State of a lease, vacant if it was never claimed."""
        return self._leases.setdefault(lease_name, LeaseState())

    def skip_to(self, offset: ids.Offset) -> None:
        """Handles that the records before an offset can't be read."""
        self._read_from = offset
        self._read_until = max(self._read_until, ids.Offset(offset - 1))

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
        if isinstance(record, records.ClaimBasis):
            self._basis = record.read_until
            self._basis_claim = ids.Offset(offset + 1)
            return False
        if isinstance(record, records.Claim):
            is_change = self._apply_claim(record, offset, now_s)
        elif isinstance(record, records.Renewal):
            is_change = False
            for lease_name, term in record.leases:
                is_change |= self._learn_term(lease_name, term)
                state = self.get(lease_name)
                if state.term == term and state.holder is not None:
                    state.confirm(offset, now_s)
        elif isinstance(record, records.Resignation):
            is_change = self._apply_resignation(record, offset, now_s)
        else:
            return False
        self._read_until = offset
        return is_change

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
            connected_since_s: Since when the log has been read without a gap;
                renewals missing before that are ignored.
            timeout_s: Time without a renewal after which the holder counts
                as failed.
        """
        state = self.get(lease_name)
        # A claim may be among the records that were not read. Its holder shows
        # up by its renewals.
        is_known = state.confirmed_at >= self._read_from - 1
        if state.holder is None and is_known:
            return True
        return now_s - max(state.seen_s, connected_since_s) > timeout_s

    def make_basis(self) -> records.ClaimBasis:
        """Makes the record that has to precede claims in their append."""
        return records.ClaimBasis(self._read_until)

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
        basis = self._take_basis(offset)
        if self._is_undecided(basis, state):
            # If the claim has an effect, its holder will renew.
            state.seen_s = now_s
            return False
        if basis is None:
            # Claim of an older release.
            seen = (state.term, state.renewals)
            if seen != (claim.previous_term, claim.previous_renewals):
                return False
        elif state.confirmed_at > basis:
            return False
        self._leases[claim.lease_name] = LeaseState(
            ids.Term(offset),
            0,
            claim.holder,
            claim.incarnation,
            now_s,
            confirmed_at=offset,
        )
        return True

    def _take_basis(self, offset: ids.Offset) -> typing.Optional[ids.Offset]:
        """What the claimant of a claim had read, None if it did not say."""
        if offset != self._basis_claim:
            return None
        self._basis_claim = ids.Offset(offset + 1)
        return self._basis

    def _is_undecided(
        self, basis: typing.Optional[ids.Offset], state: LeaseState
    ) -> bool:
        """Whether records that were not read decide about a claim."""
        if basis is None:
            return state.term == NO_TERM and self._read_from > 0
        return basis < self._read_from - 1

    def _learn_term(self, lease_name: ids.LeaseName, term: ids.Term) -> bool:
        """Learns of a claim that was not read; returns whether it is new."""
        if term <= self.get(lease_name).term:
            return False
        self._leases[lease_name] = LeaseState(term, 0, UNKNOWN_HOLDER)
        return True

    def _apply_resignation(
        self, record: records.Resignation, offset: ids.Offset, now_s: float
    ) -> bool:
        self._learn_term(record.lease_name, record.term)
        state = self.get(record.lease_name)
        if state.term != record.term or state.holder is None:
            return False
        state.resigned_holder, state.holder = state.holder, None
        # A claim made before the resignation must not take effect after it.
        state.confirm(offset, now_s)
        return True
