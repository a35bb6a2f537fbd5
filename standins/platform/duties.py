"""Stand-in of the platform's calls that only one daemon may make."""

from __future__ import annotations

import argparse

import eventlet

from standins import common

LATE_CALL_DELAY_S = 2.0


class Duties(common.StandIn):
    """Accepts usage reports and orders of replicas, and records them.

    It refuses nothing by itself: what breaks a rule is listed in the journal.
    """

    # lose_answers: the call takes effect and the connection is closed without
    # a response; throttle: 429; refuse: 409; late_calls: the connection is
    # closed and the call takes effect seconds later.
    fault_defaults = {
        'lose_answers': 0,
        'throttle': 0,
        'refuse': 0,
        'late_calls': 0,
    }

    def __init__(self, arguments: argparse.Namespace) -> None:
        super().__init__(arguments)
        self._calls: list[dict] = []
        self._effects: list[dict] = []

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if (request.method, request.path) not in (
            ('POST', '/usage'),
            ('POST', '/scale'),
        ):
            return super().handle(request)
        call = {
            'path': request.path,
            'body': request.read_json(),
            'holder': request.headers['lentildeal-duty-holder'],
            'token': int(request.headers['lentildeal-fence-token']),
            'at_s': common.now_s(),
        }
        self._calls.append(call)
        if self.faults.should_inject('throttle'):
            raise common.HttpError(429, 'too many calls')
        if self.faults.should_inject('refuse'):
            raise common.HttpError(409, 'refused')
        if self.faults.should_inject('late_calls'):
            eventlet.spawn_after(LATE_CALL_DELAY_S, self._effects.append, call)
            request.abort()
        self._effects.append(call)
        if self.faults.should_inject('lose_answers'):
            request.abort()
        return common.json_response({})

    def journal(self) -> dict:
        """See the base class."""
        return {'calls': self._calls, 'effects': self._effects}


if __name__ == '__main__':
    common.run(Duties)
