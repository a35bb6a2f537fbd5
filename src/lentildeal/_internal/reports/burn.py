"""Plug-in ``burn``: service-level objectives, error budgets, causes.

Other plug-ins record calls and steps; counts are kept in buckets of 10 s for
6 h, in memory only. ``GET /v1/reports/burn`` answers for this daemon,
``?scope=federation`` for all that answer within 1.5 s::

    {"scope", "asked_by", "revision",
     "answered": [instance, ...],
     "unreached": [{"instance", "failure_domain", "state", "reason"}, ...],
     "cut_off_domains": [domain, ...],
     "coverage": [{"window", "window_s", "covered_share",
                   "shortest_covered_s", "longest_covered_s"}, ...],
     "clubs": {club: {
         "services": {service: {"on_time": BURN, "latency": LATENCY,
                                "causes": [CAUSE, ...]}},
         "trainers": {trainer: {"on_time": BURN, "idle": BURN,
                                "latency": LATENCY, "causes": [CAUSE, ...]}},
         "causes": [CAUSE, ...]}},
     "not_in_text": [name, ...]}

    BURN: {"allowed_share",
           "budget": {"window", "total", "bad", "spent_share"},
           "burn_rates": {window: rate or null},
           "pairs": [{"short", "long", "limit", "is_burning"}, ...]}
    LATENCY: {"count", "p50_ms", "p90_ms", "p99_ms"}, of the last hour
    CAUSE: {"cause", "caused_by_club", "count", "seconds"}

``spent_share`` is the part of the budget of the last 6 h that is spent; 1.0
is all of it. For "idle", ``total`` and ``bad`` are seconds of steps and of
waiting. ``covered_share`` below 1 means that daemons started later or gave
no answer: what they had counted is not in the report.
"""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import text as text_module
from lentildeal._internal.network import http_server
from lentildeal._internal.reports import budgets
from lentildeal._internal.reports import causes as causes_module
from lentildeal._internal.reports import federation
from lentildeal._internal.reports import windows
from lentildeal._internal.utils import clock as clock_module

Key = tuple[str, str]


class Recorder:
    """Series of all objectives of this daemon."""

    def __init__(
        self, clock: windows.Clock = clock_module.monotonic_s
    ) -> None:
        self._clock = clock
        self._started_s = clock()
        self._series: dict[Key, windows.Series] = {}

    def record_call(
        self,
        service: ids.ServiceName,
        is_good: bool,
        seconds: float,
        cause: typing.Optional[str] = None,
    ) -> None:
        """Records a live call.

        Args:
            service: Service that was called.
            is_good: Whether the answer was whole and in time.
            seconds: Time until its end, in seconds.
            cause: A `outcomes.Cause`, why it was not good.
        """
        series = self._find(budgets.KIND_SERVICE, service)
        series.record(
            windows.Counts(1, int(not is_good), seconds),
            _name(cause),
            None,
        )
        series.latencies.record(seconds)

    def record_step(
        self,
        trainer: ids.TrainerName,
        is_good: bool,
        seconds: float,
        idle_s: float,
        cause: typing.Optional[str] = None,
        club: typing.Optional[ids.ClubName] = None,
    ) -> None:
        """Records a step that has ended.

        Args:
            trainer: Whose step it was.
            is_good: Whether it was whole in time.
            seconds: From its opening to its end, in seconds.
            idle_s: Of these, time the trainer waited, in seconds.
            cause: A `outcomes.Cause` of most of the waiting.
            club: Club that caused it, None if no club did.
        """
        series = self._find(budgets.KIND_TRAINER, trainer)
        series.record(
            windows.Counts(1, int(not is_good), seconds, idle_s),
            _name(cause),
            club,
        )
        series.latencies.record(seconds)

    def make_state(self) -> budgets.State:
        """Sums of this daemon."""
        entries = tuple(
            budgets.make_entry(kind, name, series)
            for (kind, name), series in self._series.items()
        )
        return budgets.State(self._clock() - self._started_s, entries)

    def _find(self, kind: str, name: str) -> windows.Series:
        key = (kind, name)
        if key not in self._series:
            self._series[key] = windows.Series(self._clock)
        return self._series[key]


@plugins.register('burn')
class Objectives(plugins.Plugin):
    """Records what other plug-ins report and answers for the federation."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._recorder = Recorder()
        self.record_call = self._recorder.record_call
        self.record_step = self._recorder.record_step

    def start(self) -> None:
        """See the base class."""
        self._kernel.peers.handle(budgets.Fetch, self._answer_fetch)
        self._kernel.router.add(
            'GET', '/v1/reports/burn', self._get_burn, while_leaving=True
        )

    def _answer_fetch(self, _, __) -> budgets.State:
        return self._recorder.make_state()

    def _get_burn(self, request) -> http_server.Response:
        scope = request.query.get('scope', 'instance')
        if scope not in ('instance', 'federation'):
            raise exceptions.BadRequestError(
                f'scope {scope!r} is not known',
                remedy='use "instance" or "federation"',
            )
        round_ = federation.Round()
        if scope == 'federation':
            round_ = federation.ask_all(self._kernel, budgets.Fetch())
        return http_server.json_response(self._report(scope, round_))

    def _report(self, scope: str, round_: federation.Round) -> dict:
        config = self._kernel.find_plugin('config')
        membership = self._kernel.find_plugin('membership')
        own = self._kernel.settings.instance
        states = [self._recorder.make_state()]
        states.extend(state for _, state in round_.answered)
        answered = [own] + [instance for instance, _ in round_.answered]
        cut_off = membership.cut_off_domains() if membership else ()
        ages_s = [state.age_s for state in states]
        return {
            'scope': scope,
            'asked_by': own,
            'revision': config.revision if config else ids.NO_REVISION,
            'answered': sorted(answered),
            'unreached': [vars(item) for item in round_.unreached],
            'cut_off_domains': sorted(cut_off),
            'coverage': budgets.describe_coverage(
                ages_s, len(round_.unreached)
            ),
            **describe(config.text if config else None, states),
        }


def describe(
    text: typing.Optional[text_module.FederationText],
    states: list[budgets.State],
) -> dict:
    """Clubs with their objectives, and names that the text doesn't have."""
    merged = budgets.merge(states)
    clubs: dict[str, dict] = {}
    causes: dict[str, causes_module.CauseTable] = {}
    not_in_text = []
    for (kind, name), item in sorted(merged.items()):
        known = _find_in_text(text, kind, name)
        if known is None:
            not_in_text.append(name)
            continue
        club = clubs.setdefault(known.club, {'services': {}, 'trainers': {}})
        club[f'{kind}s'][name] = _describe_objective(known, item)
        table = causes.setdefault(known.club, causes_module.CauseTable())
        table.add_all(item.causes)
    for name, table in causes.items():
        clubs[name]['causes'] = table.describe()
    return {'clubs': clubs, 'not_in_text': not_in_text}


def _find_in_text(text, kind: str, name: str):
    if text is None:
        return None
    table = text.services
    if kind == budgets.KIND_TRAINER:
        table = text.trainers
    return table.get(name)


def _describe_objective(known, item: budgets.Merged) -> dict:
    objective = known.objective
    result = {'on_time': item.describe_bad_share(1.0 - objective.on_time)}
    if isinstance(objective, text_module.TrainerObjective):
        result['idle'] = item.describe_idle_share(objective.idle_share)
    result['latency'] = item.describe_latency()
    result['causes'] = item.causes.describe()
    return result


def _name(cause: typing.Optional[str]) -> typing.Optional[str]:
    """Value of an enum's member; a plain string stays as it is."""
    return getattr(cause, 'value', cause)
