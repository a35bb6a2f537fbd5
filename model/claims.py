"""Idempotency claims: a non-idempotent call with a key runs at most once."""

from __future__ import annotations

import z3

from model import checker

DAEMONS = (0, 1)
SLOTS = 4
NO_NONCE = 0


class Claims(checker.Spec):
    """One key, sent repeatedly by its caller to two daemons that may restart.

    A log slot holds the daemon and the nonce of a claim. Each attempt has a
    fresh nonce. ``oldest`` stays 0: the caller repeats its key only while
    its first claim is retained.
    """

    name = 'idempotency claims'
    depth = 9
    mutations = {
        'runs on the append response alone': 'runs at most once',
        'own claim recognized by daemon instead of nonce': (
            'runs at most once'
        ),
        'repeat after retention has dropped the claim': 'runs at most once',
    }
    inductive = (
        'nonces are fresh',
        'only the first claim runs',
        'runs at most once',
    )

    def variables(self):
        """See the base class."""
        names = {
            name: self.sort for name in ('length', 'oldest', 'next', 'runs')
        }
        for i in range(SLOTS):
            names[f'daemon{i}'] = self.sort
            names[f'nonce{i}'] = self.sort
        for d in DAEMONS:
            names[f'attempt{d}'] = self.sort
            names[f'appended{d}'] = z3.BoolSort()
        return names

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['length'] == 0,
            s['oldest'] == 0,
            s['next'] == 1,
            s['runs'] == 0,
            *(s[f'attempt{d}'] == NO_NONCE for d in DAEMONS),
            *(z3.Not(s[f'appended{d}']) for d in DAEMONS),
        )

    def actions(self, s):
        """See the base class."""
        steps = []
        for d in DAEMONS:
            steps += [
                self._begin(s, d),
                self._append(s, d),
                self._decide(s, d),
                self._restart(s, d),
            ]
        if self.is_mutated('repeat after retention has dropped the claim'):
            steps.append(
                checker.Action(
                    'truncate',
                    s['oldest'] < s['length'],
                    {'oldest': s['oldest'] + 1},
                )
            )
        return steps

    def properties(self, s):
        """See the base class."""
        first_nonce = s['nonce0']
        return {
            'nonces are fresh': z3.And(
                s['length'] >= 0,
                s['oldest'] == 0,
                s['next'] >= 1,
                *(
                    z3.And(
                        s[f'attempt{d}'] < s['next'],
                        s[f'attempt{d}'] >= NO_NONCE,
                        z3.Implies(
                            s[f'appended{d}'], s[f'attempt{d}'] != NO_NONCE
                        ),
                        z3.Implies(s[f'appended{d}'], s['length'] > 0),
                    )
                    for d in DAEMONS
                ),
                *(
                    z3.Implies(
                        i < s['length'],
                        z3.And(
                            s[f'nonce{i}'] < s['next'],
                            s[f'nonce{i}'] > NO_NONCE,
                        ),
                    )
                    for i in range(SLOTS)
                ),
                z3.Or(
                    s['attempt0'] != s['attempt1'],
                    s['attempt0'] == NO_NONCE,
                ),
            )
            if not self._mutation
            else z3.BoolVal(True),
            'only the first claim runs': z3.And(
                s['runs'] >= 0,
                z3.Implies(s['runs'] > 0, s['length'] > 0),
                z3.Implies(
                    s['runs'] > 0,
                    z3.And(
                        *(s[f'attempt{d}'] != first_nonce for d in DAEMONS)
                    ),
                ),
            )
            if not self._mutation
            else z3.BoolVal(True),
            'runs at most once': s['runs'] <= 1,
        }

    def _begin(self, s, d):
        updates = {f'attempt{d}': s['next'], 'next': s['next'] + 1}
        return checker.Action(
            f'request arrives at {d}', s[f'attempt{d}'] == NO_NONCE, updates
        )

    def _append(self, s, d):
        """Appends the claim, possibly again after a lost response."""
        guard = z3.And(s[f'attempt{d}'] != NO_NONCE, s['length'] < SLOTS)
        updates = {
            'length': s['length'] + 1,
            f'appended{d}': z3.BoolVal(True),
        }
        for i in range(SLOTS):
            is_next_slot = s['length'] == i
            updates[f'daemon{i}'] = z3.If(is_next_slot, d, s[f'daemon{i}'])
            updates[f'nonce{i}'] = z3.If(
                is_next_slot, s[f'attempt{d}'], s[f'nonce{i}']
            )
        return checker.Action(f'{d} appends', guard, updates)

    def _decide(self, s, d):
        """Decides whether to run after reading the stream past the append."""
        nonces = [s[f'nonce{i}'] for i in range(SLOTS)]
        daemons = [s[f'daemon{i}'] for i in range(SLOTS)]
        may_run = checker.select(nonces, s['oldest']) == s[f'attempt{d}']
        if self.is_mutated('runs on the append response alone'):
            may_run = z3.BoolVal(True)
        if self.is_mutated('own claim recognized by daemon instead of nonce'):
            may_run = checker.select(daemons, s['oldest']) == d
        updates = {
            'runs': z3.If(may_run, s['runs'] + 1, s['runs']),
            f'attempt{d}': self.number(NO_NONCE),
            f'appended{d}': z3.BoolVal(False),
        }
        return checker.Action(f'{d} decides', s[f'appended{d}'], updates)

    def _restart(self, s, d):
        updates = {
            f'attempt{d}': self.number(NO_NONCE),
            f'appended{d}': z3.BoolVal(False),
        }
        return checker.Action(f'{d} restarts', z3.BoolVal(True), updates)
