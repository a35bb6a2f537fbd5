"""Leases for orders to targets that check no fencing tokens."""

from __future__ import annotations

import z3

from model import checker

NONE = -1
# Times in ticks, in the order of the real ones: the lease ends before others
# may claim it, and an order arrives soon after the check of the lease.
LEASE = 2
HOLDER_TIMEOUT = 3
ORDER_FLIGHT = 1
# Orders of two holders have to be at least this far apart.
LEASE_TIME = 3


class UnfencedLease(checker.Spec):
    """A holder that may be cut off from the log, and its successor.

    ``until`` is the end of the lease as the holder knows it, ``renewed`` the
    time of its last renewal in the log, ``claimed`` and ``resigned`` the times
    of these records, ``flight`` the time at which the holder checked its
    lease for an order that has not arrived yet.
    """

    name = 'lease with a target that checks no tokens'
    depth = 13
    mutations = {
        'a late renewal extends the lease without reading the log': (
            'orders of two holders are a lease time apart'
        ),
        'the successor does not wait for the lease time': (
            'orders of two holders are a lease time apart'
        ),
        'the successor ignores when the holder resigned': (
            'orders of two holders are a lease time apart'
        ),
    }

    def variables(self):
        """See the base class."""
        names = {
            name: self.sort
            for name in (
                'now',
                'until',
                'renewed',
                'claimed',
                'resigned',
                'flight',
                'holder_order',
                'successor_order',
            )
        }
        names['has_read_claim'] = z3.BoolSort()
        names['is_too_close'] = z3.BoolSort()
        return names

    def initial(self, s):
        """See the base class."""
        unset = ('claimed', 'resigned', 'flight')
        unset += ('holder_order', 'successor_order')
        return z3.And(
            s['now'] == 0,
            s['renewed'] == 0,
            s['until'] == LEASE,
            *(s[name] == NONE for name in unset),
            z3.Not(s['has_read_claim']),
            z3.Not(s['is_too_close']),
        )

    def actions(self, s):
        """See the base class."""
        now = s['now']
        may_act = z3.And(z3.Not(s['has_read_claim']), s['resigned'] == NONE)
        return [
            checker.Action(
                'time passes',
                z3.Or(s['flight'] == NONE, now < s['flight'] + ORDER_FLIGHT),
                {'now': now + 1},
            ),
            self._confirm_renewal(s, may_act),
            checker.Action(
                'holder reads the claim',
                s['claimed'] != NONE,
                {'has_read_claim': z3.BoolVal(True)},
            ),
            checker.Action(
                'holder resigns',
                z3.And(may_act, s['claimed'] == NONE),
                {'resigned': now, 'until': now},
            ),
            checker.Action(
                'holder checks its lease for an order',
                z3.And(may_act, s['flight'] == NONE, now < s['until']),
                {'flight': now},
            ),
            checker.Action(
                'order of the holder arrives',
                s['flight'] != NONE,
                {
                    'flight': self.number(NONE),
                    'holder_order': now,
                    'is_too_close': z3.Or(
                        s['is_too_close'],
                        self._is_close(now, s['successor_order']),
                    ),
                },
            ),
            checker.Action(
                'successor claims the lease',
                z3.And(
                    s['claimed'] == NONE,
                    z3.Or(
                        s['resigned'] != NONE,
                        now >= s['renewed'] + HOLDER_TIMEOUT,
                    ),
                ),
                {'claimed': now},
            ),
            checker.Action(
                'successor orders',
                z3.And(s['claimed'] != NONE, now >= self._orders_from(s)),
                {
                    'successor_order': now,
                    'is_too_close': z3.Or(
                        s['is_too_close'],
                        self._is_close(now, s['holder_order']),
                    ),
                },
            ),
        ]

    def properties(self, s):
        """See the base class."""
        return {
            'orders of two holders are a lease time apart': z3.Not(
                s['is_too_close']
            )
        }

    def _confirm_renewal(self, s, may_act):
        now = s['now']
        is_claimed = s['claimed'] != NONE
        is_expired = now >= s['until']
        # An expired lease is extended only after the log was read.
        is_lost = z3.And(is_expired, is_claimed)
        if self.is_mutated(
            'a late renewal extends the lease without reading the log'
        ):
            is_lost = z3.BoolVal(False)
        return checker.Action(
            'renewal of the holder is confirmed',
            may_act,
            {
                'renewed': z3.If(is_claimed, s['renewed'], now),
                'until': z3.If(is_lost, s['until'], now + LEASE),
                'has_read_claim': z3.Or(s['has_read_claim'], is_lost),
            },
        )

    def _orders_from(self, s):
        if self.is_mutated('the successor does not wait for the lease time'):
            return s['claimed'] + LEASE_TIME - HOLDER_TIMEOUT
        if self.is_mutated('the successor ignores when the holder resigned'):
            return z3.If(
                s['resigned'] != NONE,
                s['claimed'],
                s['renewed'] + LEASE + ORDER_FLIGHT + LEASE_TIME,
            )
        last_check = z3.If(
            s['resigned'] != NONE, s['resigned'], s['renewed'] + LEASE
        )
        return last_check + ORDER_FLIGHT + LEASE_TIME

    def _is_close(self, now, other):
        return z3.And(other != NONE, now < other + LEASE_TIME)
