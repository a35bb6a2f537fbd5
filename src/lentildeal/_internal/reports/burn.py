"""Plug-in ``burn``: service-level objectives, error budgets, causes.

Other plug-ins record calls and steps; counts are kept in buckets of 10 s for
6 h, in memory only. ``GET /v1/reports/burn`` reports on this daemon,
``?scope=federation`` on all daemons that respond within 1.5 s::

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
waiting. ``covered_share`` below 1 means that daemons started later or did
not respond: their earlier counts are not in the report.
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

ObjectiveKey = tuple[str, str]


class Recorder:
    """Records the events of all objectives of this daemon."""

    def __init__(
        self, clock: windows.Clock = clock_module.monotonic_s
    ) -> None:
        self._clock = clock
        self._started_s = clock()
        self._series: dict[ObjectiveKey, windows.Series] = {}

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
            is_good: Whether the response was complete and on time.
            seconds: Duration of the call, in seconds.
            cause: An `outcomes.Cause` if the call was not good.
        """
        series = self._get_series(budgets.KIND_SERVICE, service)
        series.record(
            windows.Counts(1, int(not is_good), seconds),
            _to_cause_name(cause),
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
            trainer: Trainer of the step.
            is_good: Whether the step was complete on time.
            seconds: Time from the start to the end of the step, in seconds.
            idle_s: Part of it that the trainer waited, in seconds.
            cause: The `outcomes.Cause` of most of the waiting.
            club: Club that caused the waiting; None if no club did.
        """
        series = self._get_series(budgets.KIND_TRAINER, trainer)
        series.record(
            windows.Counts(1, int(not is_good), seconds, idle_s),
            _to_cause_name(cause),
            club,
        )
        series.latencies.record(seconds)

    def make_state(self) -> budgets.State:
        """Builds the message with the counts of this daemon."""
        entries = tuple(
            budgets.make_entry(kind, name, series)
            for (kind, name), series in self._series.items()
        )
        return budgets.State(self._clock() - self._started_s, entries)

    def _get_series(self, kind: str, name: str) -> windows.Series:
        key = (kind, name)
        if key not in self._series:
            self._series[key] = windows.Series(self._clock)
        return self._series[key]


@plugins.register('burn')
class Objectives(plugins.Plugin):
    """Records calls and steps and serves the report on objectives."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._recorder = Recorder()
        self.record_call = self._recorder.record_call
        self.record_step = self._recorder.record_step

    def start(self) -> None:
        """See the base class."""
        self._kernel.peers.handle(budgets.Fetch, self._handle_fetch)
        self._kernel.router.add(
            'GET', '/v1/reports/burn', self._get_burn, while_leaving=True
        )

    def _handle_fetch(self, _, __) -> budgets.State:
        return self._recorder.make_state()

    def _get_burn(self, request) -> http_server.Response:
        scope = request.query.get('scope', 'instance')
        if scope not in ('instance', 'federation'):
            raise exceptions.BadRequestError(
                f'scope {scope!r} is not known',
                remedy='use "instance" or "federation"',
            )
        responses = federation.MemberResponses()
        if scope == 'federation':
            responses = federation.query_members(self._kernel, budgets.Fetch())
        return http_server.json_response(self._report(scope, responses))

    def _report(
        self, scope: str, responses: federation.MemberResponses
    ) -> dict:
        config = self._kernel.find_plugin('config')
        membership = self._kernel.find_plugin('membership')
        own = self._kernel.settings.instance
        states = [self._recorder.make_state()]
        states.extend(state for _, state in responses.answered)
        answered = [own] + [instance for instance, _ in responses.answered]
        cut_off = membership.cut_off_domains() if membership else ()
        ages_s = [state.age_s for state in states]
        return {
            'scope': scope,
            'asked_by': own,
            'revision': config.revision if config else ids.NO_REVISION,
            'answered': sorted(answered),
            'unreached': [vars(member) for member in responses.unreached],
            'cut_off_domains': sorted(cut_off),
            'coverage': budgets.describe_coverage(
                ages_s, len(responses.unreached)
            ),
            **describe(config.text if config else None, states),
        }


def describe(
    text: typing.Optional[text_module.FederationText],
    states: list[budgets.State],
) -> dict:
    """Describes the objectives by club, from the counts of daemons.

    Args:
        text: Published text; None if there is none yet.
        states: Counts of the daemons.

    Returns:
        "clubs" with their objectives and "not_in_text", the names with counts
        that the text does not have.
    """
    totals_by_key = budgets.merge_states(states)
    clubs: dict[str, dict] = {}
    causes: dict[str, causes_module.CauseTable] = {}
    not_in_text = []
    for (kind, name), totals in sorted(totals_by_key.items()):
        declared = _find_in_text(text, kind, name)
        if declared is None:
            not_in_text.append(name)
            continue
        club = clubs.setdefault(
            declared.club, {'services': {}, 'trainers': {}}
        )
        club[f'{kind}s'][name] = _describe_objective(declared, totals)
        table = causes.setdefault(declared.club, causes_module.CauseTable())
        table.add_all(totals.causes)
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


def _describe_objective(declared, totals: budgets.ObjectiveTotals) -> dict:
    objective = declared.objective
    result = {'on_time': totals.describe_bad_share(1.0 - objective.on_time)}
    if isinstance(objective, text_module.TrainerObjective):
        result['idle'] = totals.describe_idle_share(objective.idle_share)
    result['latency'] = totals.describe_latency()
    result['causes'] = totals.causes.describe()
    return result


def _to_cause_name(cause: typing.Optional[str]) -> typing.Optional[str]:
    """Returns the value of an enum member; other values unchanged."""
    return getattr(cause, 'value', cause)
