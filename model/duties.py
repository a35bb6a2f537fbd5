"""Duties at the platform: reports that never change, and late orders."""

from __future__ import annotations

import z3

from model import checker

HOLDERS = (0, 1)
NONE = -1
# Ticks after which a call without an answer is not executed any more.
LATE_CALL = 2


class UsageReport(checker.Spec):
    """Two holders report one window while counts still arrive.

    A holder appends its ``plan`` to the log, where the append may arrive
    later. ``report`` is the first one in the log. ``call`` is a call that the
    platform has not executed yet, ``known`` the report that it knows.
    """

    name = 'report of a window by several holders'
    depth = 9
    mutations = {
        'a second holder makes the report anew': (
            'no two reports of a window differ'
        ),
    }
    inductive = (
        'no two reports of a window differ',
        'reports that are sent are in the log',
    )

    def variables(self):
        """See the base class."""
        names = {name: self.sort for name in ('counts', 'report', 'known')}
        names['differs'] = z3.BoolSort()
        for d in HOLDERS:
            names[f'plan{d}'] = self.sort
            names[f'call{d}'] = self.sort
        return names

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['counts'] == 0,
            s['report'] == NONE,
            s['known'] == NONE,
            z3.Not(s['differs']),
            *(
                s[f'{name}{d}'] == NONE
                for name in ('plan', 'call')
                for d in HOLDERS
            ),
        )

    def actions(self, s):
        """See the base class."""
        steps = [
            checker.Action(
                'counts arrive',
                z3.BoolVal(True),
                {'counts': s['counts'] + 1},
            )
        ]
        for d in HOLDERS:
            steps += [
                checker.Action(
                    f'{d} closes the window',
                    z3.And(s[f'plan{d}'] == NONE, s['counts'] >= 0),
                    {f'plan{d}': s['counts']},
                ),
                checker.Action(
                    f'append of {d} arrives',
                    s[f'plan{d}'] != NONE,
                    {
                        'report': z3.If(
                            s['report'] == NONE, s[f'plan{d}'], s['report']
                        )
                    },
                ),
                self._send(s, d),
                self._execute(s, d),
            ]
        return steps

    def properties(self, s):
        """See the base class."""
        return {
            'no two reports of a window differ': z3.Not(s['differs']),
            'reports that are sent are in the log': z3.And(
                *(
                    z3.Or(sent == NONE, sent == s['report'])
                    for sent in (s['known'], s['call0'], s['call1'])
                )
            )
            if self._mutation is None
            else z3.BoolVal(True),
        }

    def _send(self, s, d):
        sent = s['report']
        if self.is_mutated('a second holder makes the report anew'):
            sent = s[f'plan{d}']
        return checker.Action(
            f'{d} sends the report',
            z3.And(s['report'] != NONE, s[f'call{d}'] == NONE, sent != NONE),
            {f'call{d}': sent},
        )

    def _execute(self, s, d):
        call = s[f'call{d}']
        return checker.Action(
            f'call of {d} is executed',
            call != NONE,
            {
                'known': z3.If(s['known'] == NONE, call, s['known']),
                'differs': z3.Or(
                    s['differs'],
                    z3.And(s['known'] != NONE, s['known'] != call),
                ),
                f'call{d}': self.number(NONE),
            },
        )


class LateOrder(checker.Spec):
    """Orders of a number of replicas, one of which may be executed late.

    ``target`` is the number that the platform aims at, ``ordered`` the last
    order, ``done`` whether that one was executed. ``late`` is a call without
    an answer that was sent at ``sent``.
    """

    name = 'order of replicas that is executed late'
    depth = 9
    mutations = {
        'an order is sent as a difference': (
            'a repeated order changes nothing'
        ),
        'no wait before an order in the opposite direction': (
            'no late call undoes an order in the opposite direction'
        ),
    }

    def variables(self):
        """See the base class."""
        names = {
            name: self.sort
            for name in ('now', 'target', 'ordered', 'late', 'sent')
        }
        for name in ('done', 'is_raise', 'is_late_raise'):
            names[name] = z3.BoolSort()
        names['has_repeat_changed'] = z3.BoolSort()
        names['is_undone'] = z3.BoolSort()
        return names

    def initial(self, s):
        """See the base class."""
        return z3.And(
            s['now'] == 0,
            s['target'] == 1,
            s['ordered'] == 1,
            s['late'] == NONE,
            s['sent'] == NONE,
            s['done'],
            s['is_raise'],
            s['is_late_raise'],
            z3.Not(s['has_repeat_changed']),
            z3.Not(s['is_undone']),
        )

    def actions(self, s):
        """See the base class."""
        steps = [
            checker.Action(
                'time passes',
                z3.Or(s['late'] == NONE, s['now'] < s['sent'] + LATE_CALL),
                {'now': s['now'] + 1},
            ),
            checker.Action(
                'late call is lost',
                s['late'] != NONE,
                {'late': self.number(NONE)},
            ),
            checker.Action(
                'holder repeats its order',
                z3.Not(s['done']),
                {
                    'target': self._carry_out(s, s['ordered'], s['is_raise']),
                    'done': z3.BoolVal(True),
                },
            ),
            self._execute_late(s),
        ]
        for is_raise in (False, True):
            for is_answered in (False, True):
                steps.append(self._order(s, is_raise, is_answered))
        return steps

    def properties(self, s):
        """See the base class."""
        return {
            'a repeated order changes nothing': z3.Not(
                s['has_repeat_changed']
            ),
            'no late call undoes an order in the opposite direction': z3.Not(
                s['is_undone']
            ),
        }

    def _order(self, s, is_raise, is_answered):
        """Raises or lowers the number, with an answer or without one."""
        number = s['ordered'] + (1 if is_raise else -1)
        is_opposite = s['is_raise'] != z3.BoolVal(is_raise)
        may_be_late = z3.And(
            s['sent'] != NONE, s['now'] <= s['sent'] + LATE_CALL
        )
        may_order = z3.Not(z3.And(is_opposite, may_be_late))
        if self.is_mutated(
            'no wait before an order in the opposite direction'
        ):
            may_order = z3.BoolVal(True)
        updates = {
            'ordered': number,
            'is_raise': z3.BoolVal(is_raise),
            'done': z3.BoolVal(is_answered),
        }
        if is_answered:
            updates['target'] = self._carry_out(
                s, number, z3.BoolVal(is_raise)
            )
        else:
            updates['late'] = number
            updates['is_late_raise'] = z3.BoolVal(is_raise)
            updates['sent'] = s['now']
        is_free = z3.BoolVal(True) if is_answered else s['late'] == NONE
        return checker.Action(
            f'order {"up" if is_raise else "down"}'
            f' {"with" if is_answered else "without"} an answer',
            z3.And(may_order, is_free, number >= 0),
            updates,
        )

    def _execute_late(self, s):
        target = self._carry_out(s, s['late'], s['is_late_raise'])
        is_same = s['late'] == s['ordered']
        return checker.Action(
            'late call is executed',
            s['late'] != NONE,
            {
                'target': target,
                'late': self.number(NONE),
                'done': z3.Or(s['done'], is_same),
                'has_repeat_changed': z3.Or(
                    s['has_repeat_changed'],
                    z3.And(s['done'], is_same, target != s['target']),
                ),
                'is_undone': z3.Or(
                    s['is_undone'],
                    z3.And(s['done'], s['is_late_raise'] != s['is_raise']),
                ),
            },
        )

    def _carry_out(self, s, number, is_raise):
        if self.is_mutated('an order is sent as a difference'):
            return z3.If(is_raise, s['target'] + 1, s['target'] - 1)
        return number
