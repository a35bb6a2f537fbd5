"""Delivery of samples to a trainer: exactly once, within the bound."""

from __future__ import annotations

import z3

from model import checker

SAMPLES = (0, 1)
SLOTS = 3
VERSION_EVENT = 9
STALENESS_BOUND = 1


class Delivery(checker.Spec):
    """One trainer, its current stream and the one replaced by it.

    Streams are first-in first-out queues of samples and version events.
    ``known`` is the current version as known to the trainer, ``current`` the
    one that the coordinator checks against.
    """

    name = 'delivery'
    depth = 7
    mutations = {
        'trainer attaches without its received set': 'delivered at most once',
        'late duplicate result is written': 'delivered at most once',
        'trainer continues to read the replaced stream': (
            'delivered at most once'
        ),
        'staleness checked before the newest version': (
            'never over the staleness bound'
        ),
        'version announced outside of the stream': (
            'never over the staleness bound'
        ),
    }

    def variables(self):
        """See the base class."""
        names = {'known': self.sort, 'current': self.sort}
        names['over_stale'] = z3.BoolSort()
        for i in SAMPLES:
            names[f'received{i}'] = self.sort
            names[f'written{i}'] = z3.BoolSort()
        for queue in ('new', 'old'):
            names[f'{queue}_length'] = self.sort
            for i in range(SLOTS):
                names[f'{queue}_kind{i}'] = self.sort
                names[f'{queue}_version{i}'] = self.sort
        return names

    def inputs(self):
        """See the base class."""
        return {'input_version': self.sort}

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['known'] == 0,
            s['current'] == 0,
            z3.Not(s['over_stale']),
            s['new_length'] == 0,
            s['old_length'] == 0,
            *(s[f'received{i}'] == 0 for i in SAMPLES),
            *(z3.Not(s[f'written{i}']) for i in SAMPLES),
        )

    def actions(self, s):
        """See the base class."""
        steps = [self._announce(s), self._read(s, 'new'), self._attach(s)]
        for i in SAMPLES:
            steps += [self._write(s, i), self._restore(s, i)]
        if self.is_mutated('trainer continues to read the replaced stream'):
            steps.append(self._read(s, 'old'))
        return steps

    def properties(self, s):
        """See the base class."""
        return {
            'delivered at most once': z3.And(
                *(s[f'received{i}'] <= 1 for i in SAMPLES)
            ),
            'never over the staleness bound': z3.Not(s['over_stale']),
        }

    def _write(self, s, i):
        """Writes a result, possibly a duplicate, if the checks allow it."""
        version = s['input_version']
        bound = STALENESS_BOUND
        if self.is_mutated('staleness checked before the newest version'):
            bound += 1
        guard = z3.And(
            s['new_length'] < SLOTS,
            version >= 0,
            version <= s['current'],
            s['current'] - version <= bound,
        )
        if not self.is_mutated('late duplicate result is written'):
            guard = z3.And(guard, z3.Not(s[f'written{i}']))
        updates = _append_event(s, self.number(i), version)
        updates[f'written{i}'] = z3.BoolVal(True)
        return checker.Action(f'write sample {i}', guard, updates)

    def _announce(self, s):
        version = s['current'] + 1
        guard = z3.And(s['new_length'] < SLOTS, version <= 3)
        updates = _append_event(s, self.number(VERSION_EVENT), version)
        updates['current'] = version
        if self.is_mutated('version announced outside of the stream'):
            updates['known'] = version
        return checker.Action('announce version', guard, updates)

    def _read(self, s, queue):
        kind, version = s[f'{queue}_kind0'], s[f'{queue}_version0']
        is_event = kind == VERSION_EVENT
        is_over_stale = s['known'] - version > STALENESS_BOUND
        updates = _remove_event(s, queue)
        updates['known'] = z3.If(is_event, version, s['known'])
        updates['over_stale'] = z3.Or(
            s['over_stale'], z3.And(z3.Not(is_event), is_over_stale)
        )
        for i in SAMPLES:
            name = f'received{i}'
            updates[name] = z3.If(kind == i, s[name] + 1, s[name])
        return checker.Action(
            f'read {queue} stream', s[f'{queue}_length'] > 0, updates
        )

    def _attach(self, s):
        """Attaches to another coordinator after the connection broke."""
        updates = {
            'known': s['current'],
            'new_length': self.number(0),
            'old_length': s['new_length'],
        }
        for i in range(SLOTS):
            updates[f'old_kind{i}'] = s[f'new_kind{i}']
            updates[f'old_version{i}'] = s[f'new_version{i}']
        sends_received = not self.is_mutated(
            'trainer attaches without its received set'
        )
        for i in SAMPLES:
            is_received = (
                s[f'received{i}'] > 0 if sends_received else z3.BoolVal(False)
            )
            updates[f'written{i}'] = is_received
        return checker.Action('attach', z3.BoolVal(True), updates)

    def _restore(self, s, i):
        """Restarts the trainer from a checkpoint without a sample."""
        action = self._attach(s)
        updates = dict(action.updates)
        updates['old_length'] = self.number(0)
        updates[f'received{i}'] = self.number(0)
        updates[f'written{i}'] = z3.BoolVal(False)
        return checker.Action(f'restore without {i}', action.guard, updates)


def _append_event(s, kind, version):
    updates = {'new_length': s['new_length'] + 1}
    for i in range(SLOTS):
        is_next_slot = s['new_length'] == i
        updates[f'new_kind{i}'] = z3.If(is_next_slot, kind, s[f'new_kind{i}'])
        updates[f'new_version{i}'] = z3.If(
            is_next_slot, version, s[f'new_version{i}']
        )
    return updates


def _remove_event(s, queue):
    updates = {f'{queue}_length': s[f'{queue}_length'] - 1}
    for i in range(SLOTS - 1):
        for field in ('kind', 'version'):
            updates[f'{queue}_{field}{i}'] = s[f'{queue}_{field}{i + 1}']
    return updates
