"""Orders to a replica: terms, fencing tokens and delayed orders."""

from __future__ import annotations

import z3

from model import checker

OWNERS = (0, 1)
NONE = -1


class Fencing(checker.Spec):
    """Two daemons send orders to one replica; a paused one may not notice.

    An owner has a ``token`` and at most one order in flight, which can arrive
    at any later time. ``issued`` is the highest token in the log.
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
            steps += [
                self._take_over(s, d),
                self._send_order(s, d),
                self._receive_order(s, d),
            ]
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

    def _take_over(self, s, d):
        """Makes a daemon the newest owner; the other one may not notice."""
        token = s['issued'] + 1
        if self.is_mutated('new owner keeps its old token'):
            token = z3.If(s[f'token{d}'] > 0, s[f'token{d}'], token)
        updates = {
            f'token{d}': token,
            'issued': z3.If(token > s['issued'], token, s['issued']),
            'newest': self.number(d),
        }
        return checker.Action(f'take over {d}', s['newest'] != d, updates)

    def _send_order(self, s, d):
        guard = z3.And(s[f'token{d}'] > 0, s[f'order_token{d}'] == NONE)
        updates = {
            f'order_token{d}': s[f'token{d}'],
            f'order_version{d}': s['latest'],
        }
        return checker.Action(f'order {d}', guard, updates)

    def _receive_order(self, s, d):
        token, version = s[f'order_token{d}'], s[f'order_version{d}']
        is_accepted = token >= s['fence']
        if self.is_mutated('target ignores the token'):
            is_accepted = z3.BoolVal(True)
        is_current = z3.And(s['newest'] == d, token == s[f'token{d}'])
        updates = {
            'version': z3.If(is_accepted, version, s['version']),
            'fence': z3.If(
                z3.And(is_accepted, token > s['fence']), token, s['fence']
            ),
            'stale_effect': z3.Or(
                s['stale_effect'], z3.And(is_accepted, token < s['fence'])
            ),
            'newest_refused': z3.Or(
                s['newest_refused'], z3.And(is_current, z3.Not(is_accepted))
            ),
            f'order_token{d}': self.number(NONE),
        }
        return checker.Action(f'order of {d} arrives', token != NONE, updates)


class ReadBack(checker.Spec):
    """A target that ignores tokens still ends up with the newest version.

    The owner reads the version back and repeats its order while the version
    is older. A read is stale as soon as an order arrives after it.
    ``settled`` means that the owner considers the replica up to date.
    """

    name = 'read-back with a target that ignores tokens'
    depth = 9
    mutations = {
        'owner assumes success without reading back': (
            'a replica marked up to date has the newest version'
        ),
        'owner relies on a read before the last arrival': (
            'a replica marked up to date has the newest version'
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
        reset_settled = {'settled': z3.BoolVal(False)}
        skips_read_back = self.is_mutated(
            'owner assumes success without reading back'
        )
        keeps_stale_read = self.is_mutated(
            'owner relies on a read before the last arrival'
        )
        discard_read = {} if keeps_stale_read else {'read': self.number(NONE)}
        return [
            checker.Action(
                'publish version',
                z3.BoolVal(True),
                {'latest': s['latest'] + 1, **reset_settled},
            ),
            checker.Action(
                'paused owner sends its order',
                s['late_version'] == NONE,
                {'late_version': s['latest'], **reset_settled},
            ),
            checker.Action(
                'late order arrives',
                s['late_version'] != NONE,
                {
                    'version': s['late_version'],
                    'late_version': self.number(NONE),
                    **discard_read,
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
                    'read': s['latest']
                    if skips_read_back
                    else self.number(NONE),
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
                'owner marks replica up to date',
                z3.And(s['read'] == s['latest'], s['late_version'] == NONE),
                {'settled': z3.BoolVal(True)},
            ),
        ]

    def properties(self, s):
        """See the base class."""
        return {
            'a replica marked up to date has the newest version': z3.Implies(
                s['settled'], s['version'] == s['latest']
            )
        }
