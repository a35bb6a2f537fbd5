"""Plug-in ``status``: health, readiness, metrics and status of daemons.

``GET /v1/status`` responds with what ``StatusReports.describe`` returns,
``?scope=federation`` with ``{"asked_by", "answered": [status, ...],
"unreached": [{"instance", "failure_domain", "state", "reason"}, ...],
"cut_off_domains": [...]}``. There, the status of a daemon lists only members
that are not live, since 350 full lists of 350 members would take 18 MB;
``member_counts`` has the number of members by state.
"""

from __future__ import annotations

import collections
import dataclasses
import typing

import eventlet
import prometheus_client

from lentildeal._internal import exceptions
from lentildeal._internal.kernel import kernel as kernel_module
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import http_server
from lentildeal._internal.network import wire
from lentildeal._internal.reports import federation

Status = dict[str, typing.Any]


@wire.message('status.fetch')
@dataclasses.dataclass(frozen=True)
class Fetch:
    """Requests the status of a daemon."""


@wire.message('status.state')
@dataclasses.dataclass(frozen=True)
class State:
    """Status of one daemon.

    Attributes:
        status: JSON value, as ``StatusReports.describe`` returns it but
            without live members.
    """

    status: Status


@plugins.register('status')
class StatusReports(plugins.Plugin):
    """Serves health, readiness, metrics, status and drain requests."""

    def start(self) -> None:
        """See the base class."""
        self._kernel.peers.handle(Fetch, self._handle_fetch)
        for method, path, handler in (
            ('GET', '/healthz', self._get_health),
            ('GET', '/readyz', self._get_readiness),
            ('GET', '/metrics', self._get_metrics),
            ('GET', '/v1/status', self._get_status),
            ('POST', '/v1/drain', self._post_drain),
        ):
            self._kernel.router.add(method, path, handler, while_leaving=True)

    def describe(self) -> Status:
        """Returns the status of this daemon as a JSON value."""
        settings = self._kernel.settings
        membership = self._kernel.find_plugin('membership')
        config = self._kernel.find_plugin('config')
        known_members = membership.members() if membership else []
        counts = collections.Counter(m.state.value for m in known_members)
        return {
            'instance': settings.instance,
            'incarnation': self._kernel.incarnation,
            'failure_domain': settings.failure_domain,
            'http_address': settings.http_address,
            'state': self._kernel.state.value,
            'revision': config.revision if config else ids.NO_REVISION,
            'is_log_reachable': config.is_log_reachable if config else None,
            'requests_in_flight': self._kernel.http_server.in_flight,
            'is_view_fresh': membership.is_settled if membership else None,
            'member_counts': dict(counts),
            'members': [
                _describe_member(member)
                for member in _sort_members(known_members)
            ],
            'cut_off_domains': _list_cut_off_domains(membership),
            'replicas': self._describe_replicas(),
            'steps': self._describe_steps(),
            'attempts_running': self._describe_attempts(),
        }

    def _describe_replicas(self) -> list[Status]:
        slots = self._kernel.find_plugin('slots')
        if slots is None:
            return []
        orders = self._kernel.find_plugin('orders')
        result = []
        for target, domain, address in slots.iter_owned():
            load = slots.load_of(address)
            result.append(
                {
                    'target': target,
                    'failure_domain': domain,
                    'address': address,
                    'load': load and _to_json(load),
                    'version': orders.version_of(address) if orders else None,
                }
            )
        return result

    def _describe_steps(self) -> list[Status]:
        trainers = self._kernel.find_plugin('trainers')
        if trainers is None:
            return []
        return [_to_json(step) for step in trainers.list_open_steps()]

    def _describe_attempts(self) -> typing.Any:
        worker = self._kernel.find_plugin('worker')
        return None if worker is None else _to_json(worker.list_attempts())

    def _get_health(self, _) -> http_server.Response:
        return http_server.json_response({'status': 'ok'})

    def _get_readiness(self, _) -> http_server.Response:
        cause = self._find_cause_not_ready()
        if cause is None:
            return http_server.json_response({'status': 'ready'})
        return http_server.json_response(
            {'status': 'not_ready', 'cause': cause.value}, 503
        )

    def _find_cause_not_ready(self) -> typing.Optional[outcomes.Cause]:
        if self._kernel.state is not kernel_module.KernelState.SERVING:
            return outcomes.Cause.LEAVING
        config = self._kernel.find_plugin('config')
        if config is None or config.text is None:
            return outcomes.Cause.NO_CONFIGURATION
        return None

    def _get_metrics(self, _) -> http_server.Response:
        headers = {'Content-Type': prometheus_client.CONTENT_TYPE_LATEST}
        body = prometheus_client.generate_latest()
        return http_server.Response(200, headers, body)

    def _get_status(self, request) -> http_server.Response:
        scope = request.query.get('scope', 'instance')
        if scope == 'instance':
            return http_server.json_response(self.describe())
        if scope != 'federation':
            raise exceptions.BadRequestError(
                f'scope {scope!r} is not known',
                remedy='use "instance" or "federation"',
            )
        responses = federation.query_members(self._kernel, Fetch())
        answered = [response.status for _, response in responses.answered]
        membership = self._kernel.find_plugin('membership')
        return http_server.json_response(
            {
                'asked_by': self._kernel.settings.instance,
                'answered': [_omit_live_members(self.describe())] + answered,
                'unreached': [_to_json(item) for item in responses.unreached],
                'cut_off_domains': _list_cut_off_domains(membership),
            }
        )

    def _post_drain(self, _) -> http_server.Response:
        # Spawned so that the response is sent first; otherwise it would wait
        # for plug-ins that begin to stop.
        eventlet.spawn_after(0.0, self._kernel.request_drain)
        return http_server.json_response({'state': 'draining'}, 202)

    def _handle_fetch(self, _, __) -> State:
        return State(_to_json(_omit_live_members(self.describe())))


def _describe_member(member: members.Member) -> Status:
    return {
        'instance': member.instance,
        'incarnation': member.incarnation,
        'failure_domain': member.failure_domain,
        'http_address': member.http_address,
        'state': member.state.value,
        'revision': member.revision,
        'attachments': [_to_json(a) for a in member.attachments],
    }


def _omit_live_members(status: Status) -> Status:
    """Returns the status without live members, for federation reports."""
    rest = [m for m in status['members'] if m['state'] != 'live']
    return {**status, 'members': rest}


def _sort_members(known_members: list[members.Member]) -> list[members.Member]:
    return sorted(known_members, key=lambda m: (m.failure_domain, m.instance))


def _list_cut_off_domains(membership) -> list[str]:
    return [] if membership is None else sorted(membership.cut_off_domains())


def _to_json(value: typing.Any) -> typing.Any:
    """Converts dataclasses and tuples of other plug-ins to JSON values."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if hasattr(value, '_asdict'):
        return _to_json(value._asdict())
    if isinstance(value, dict):
        return {str(key): _to_json(item) for key, item in value.items()}
    if isinstance(value, (str, int, float, bool)) or value is None:
        return getattr(value, 'value', value)
    try:
        return [_to_json(item) for item in value]
    except TypeError:
        return str(value)
