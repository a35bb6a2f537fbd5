"""Orders to a replica: terms, fencing tokens and late orders."""

from __future__ import annotations

import z3

from model import checker

OWNERS = (0, 1)
NONE = -1


class Fencing(checker.Spec):
    """Two daemons order one replica; either may be paused and unaware.

    An owner has a ``token`` and at most one order on its way, which can
    arrive at any later time. ``issued`` is the highest token of the log.
    """

    name = 'fencing with a target that checks tokens'
    depth = 9
    mutations = {
        'target ignores the token': 'no order of an older term takes effect',
        'new owner keeps its old token': 'newest owner is not refused',
    }
    inductive = ('tokens are issued', 'no order of an older term takes effect')

    def variables(self):
        """See the base class."""
        names = {
            name: self.sort
            for name in ('issued', 'fence', 'version', 'latest', 'newest')
        }
        names['stale_effect'] = z3.BoolSort()
        names['newest_refused'] = z3.BoolSort()
        for d in OWNERS:
            for field in ('token', 'order_token', 'order_version'):
                names[f'{field}{d}'] = self.sort
        return names

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['issued'] == 0,
            s['fence'] == 0,
            s['version'] == 0,
            s['latest'] == 0,
            s['newest'] == NONE,
            z3.Not(s['stale_effect']),
            z3.Not(s['newest_refused']),
            *(s[f'token{d}'] == 0 for d in OWNERS),
            *(s[f'order_token{d}'] == NONE for d in OWNERS),
        )

    def actions(self, s):
        """See the base class."""
        steps = [
            checker.Action(
                'publish version',
                z3.BoolVal(True),
                {'latest': s['latest'] + 1},
            )
        ]
        for d in OWNERS:
            steps += [self._take(s, d), self._order(s, d), self._arrive(s, d)]
        return steps

    def properties(self, s):
        """See the base class."""
        return {
            'tokens are issued': z3.And(
                s['issued'] >= 0,
                s['fence'] <= s['issued'],
                *(s[f'token{d}'] <= s['issued'] for d in OWNERS),
                *(s[f'order_token{d}'] <= s['issued'] for d in OWNERS),
            ),
            'no order of an older term takes effect': z3.Not(
                s['stale_effect']
            ),
            'newest owner is not refused': z3.Not(s['newest_refused']),
        }

    def _take(self, s, d):
        """A daemon takes the replica over, the other one may not know."""
        token = s['issued'] + 1
        if self.is_mutated('new owner keeps its old token'):
            token = z3.If(s[f'token{d}'] > 0, s[f'token{d}'], token)
        updates = {
            f'token{d}': token,
            'issued': z3.If(token > s['issued'], token, s['issued']),
            'newest': self.number(d),
        }
        return checker.Action(f'take over {d}', s['newest'] != d, updates)

    def _order(self, s, d):
        guard = z3.And(s[f'token{d}'] > 0, s[f'order_token{d}'] == NONE)
        updates = {
            f'order_token{d}': s[f'token{d}'],
            f'order_version{d}': s['latest'],
        }
        return checker.Action(f'order {d}', guard, updates)

    def _arrive(self, s, d):
        token, version = s[f'order_token{d}'], s[f'order_version{d}']
        takes = token >= s['fence']
        if self.is_mutated('target ignores the token'):
            takes = z3.BoolVal(True)
        is_current = z3.And(s['newest'] == d, token == s[f'token{d}'])
        updates = {
            'version': z3.If(takes, version, s['version']),
            'fence': z3.If(
                z3.And(takes, token > s['fence']), token, s['fence']
            ),
            'stale_effect': z3.Or(
                s['stale_effect'], z3.And(takes, token < s['fence'])
            ),
            'newest_refused': z3.Or(
                s['newest_refused'], z3.And(is_current, z3.Not(takes))
            ),
            f'order_token{d}': self.number(NONE),
        }
        return checker.Action(f'order of {d} arrives', token != NONE, updates)


class ReadBack(checker.Spec):
    """A target that ignores tokens ends on the newest ordered version.

    The owner reads the version back and orders again while it is older. A
    read is stale as soon as an order arrives after it.
    """

    name = 'read-back with a target that ignores tokens'
    depth = 9
    mutations = {
        'owner trusts its order without reading back': (
            'a settled replica has the newest version'
        ),
        'owner settles on a read before the last arrival': (
            'a settled replica has the newest version'
        ),
    }

    def variables(self):
        """See the base class."""
        return {
            'version': self.sort,
            'latest': self.sort,
            'late_version': self.sort,
            'owner_version': self.sort,
            'read': self.sort,
            'settled': z3.BoolSort(),
        }

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['version'] == 0,
            s['latest'] == 0,
            s['late_version'] == NONE,
            s['owner_version'] == NONE,
            s['read'] == NONE,
            z3.Not(s['settled']),
        )

    def actions(self, s):
        """See the base class."""
        unsettled = {'settled': z3.BoolVal(False)}
        trusts = self.is_mutated('owner trusts its order without reading back')
        keeps = self.is_mutated(
            'owner settles on a read before the last arrival'
        )
        forgets = {} if keeps else {'read': self.number(NONE)}
        return [
            checker.Action(
                'publish version',
                z3.BoolVal(True),
                {'latest': s['latest'] + 1, **unsettled},
            ),
            checker.Action(
                'paused owner sends its order',
                s['late_version'] == NONE,
                {'late_version': s['latest'], **unsettled},
            ),
            checker.Action(
                'late order arrives',
                s['late_version'] != NONE,
                {
                    'version': s['late_version'],
                    'late_version': self.number(NONE),
                    **forgets,
                },
            ),
            checker.Action(
                'owner reads',
                s['owner_version'] == NONE,
                {'read': s['version']},
            ),
            checker.Action(
                'owner orders',
                z3.And(s['read'] != NONE, s['read'] < s['latest']),
                {
                    'owner_version': s['latest'],
                    'read': s['latest'] if trusts else self.number(NONE),
                },
            ),
            checker.Action(
                'order of owner arrives',
                s['owner_version'] != NONE,
                {
                    'version': s['owner_version'],
                    'owner_version': self.number(NONE),
                },
            ),
            checker.Action(
                'owner settles',
                z3.And(s['read'] == s['latest'], s['late_version'] == NONE),
                {'settled': z3.BoolVal(True)},
            ),
        ]

    def properties(self, s):
        """See the base class."""
        return {
            'a settled replica has the newest version': z3.Implies(
                s['settled'], s['version'] == s['latest']
            )
        }
