"""Plug-in ``route_explanations``: where a request would go.

``GET /v1/route/explain`` on the addresses of readiness checks and metrics,
which clients don't reach. Query: ``host``, ``path``, ``account``, and for a
job ``model``, ``min_version`` and ``items``. The answer comes from the
decision modules that place requests. Nothing is sent to a replica.
"""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.gateway import choice
from lentildeal._internal.gateway import plugin as gateway_plugin
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_server
from lentildeal._internal.routing import finish_times
from lentildeal._internal.utils import decimals

PATH = '/v1/route/explain'
NEAR_EQUAL_PERCENT = round(100 * finish_times.NEAR_EQUAL_SHARE)

Document = dict[str, typing.Any]


@plugins.register('route_explanations', after=('gateway', 'jobs', 'readiness'))
class RouteExplanations(plugins.Plugin):
    """Explains the placement of a request that is not sent."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._gateway = kernel.plugin('gateway')
        self._jobs = kernel.plugin('jobs')

    def start(self) -> None:
        """See the base class."""
        router = self._kernel.plugin('readiness').router
        router.add('GET', PATH, self._handle)

    def _handle(self, request: http_server.Request) -> http_server.Response:
        return http_server.json_response(self.explain(request.query))

    def explain(self, query: typing.Mapping[str, str]) -> Document:
        """Explains a request.

        Args:
            query: See the module.

        Raises:
            exceptions.BadRequestError: A field is missing or invalid.
        """
        for name in ('host', 'path'):
            if not query.get(name):
                raise exceptions.BadRequestError(f'"{name}" is missing')
        document: Document = {
            'instance': self._kernel.settings.instance,
            'host': query['host'],
            'path': query['path'],
            'account': None,
            'refusals': [],
            'replica': None,
            'replicas': [],
        }
        try:
            route = self._gateway.find_route(query['host'], query['path'])
        except exceptions.LentildealError as error:
            document['refusals'].append(error.message)
            return _finish(document)
        text = self._directory.text
        document['text_version'] = text.version
        document['route'] = describe_route(route)
        account = query.get('account')
        document['refusals'] += find_account_refusals(text, route, account)
        # Whatever else was given may be a key.
        if account in (text.accounts or {}):
            document['account'] = account
        if route.kind is deployment.RouteKind.ROLLOUT:
            self._explain_job(document, route, query)
        else:
            self._explain_call(document, route)
        return _finish(document)

    def _explain_call(
        self, document: Document, route: deployment.Route
    ) -> None:
        hedging = self._kernel.settings.hedging
        document['limits'] = {
            'request_wait_s': gateway_plugin.MAX_TURN_WAIT_S,
            'copies_share': hedging.share_of_requests,
        }
        # The services of a split route are chosen at random; the one with the
        # largest weight is shown.
        share = max(route.shares, key=lambda s: s.weight, default=None)
        service = share.service if share and share.weight > 0 else None
        rows = document['replicas'] = self._gateway.describe_replicas(service)
        chosen = self._gateway.choose(service, ())
        if chosen is None:
            reason = f'no replica of {service} is ready within its limit'
            document['refusals'].append(reason)
            return
        document['replica'] = chosen.replica_id
        row = next(r for r in rows if r['replica'] == chosen.replica_id)
        ahead = row['load'] + 1 - row['slots']
        document['queue_position'] = max(0, round(ahead))
        document['reasons'] = _explain_choice(rows, row)

    def _explain_job(
        self,
        document: Document,
        route: deployment.Route,
        query: typing.Mapping[str, str],
    ) -> None:
        if not query.get('model'):
            reason = 'a rollout route takes jobs only; give the file of one'
            document['refusals'].append(reason)
            return
        min_version = decimals.read_decimal(query.get('min_version', '0'))
        items = decimals.read_decimal(query.get('items', '1'))
        if min_version is None or items is None:
            raise exceptions.BadRequestError(
                '"min_version" or "items" is not a number'
            )
        preview = self._jobs.preview(
            route, ids.ModelName(query['model']), ids.Version(min_version)
        )
        document['limits'] = {
            'deadline_s': route.deadline_s,
            'max_item_age_s': route.max_item_age_s,
        }
        document['items'] = items
        document['replicas'] = preview.rows
        document['replica'] = preview.replica_id
        document['queue_position'] = preview.waiting
        document['reasons'] = [
            'this daemon places the items'
            if preview.is_holder
            else 'another daemon places the items; it may know more'
        ]
        if not preview.rows:
            document['refusals'].append(f'no replica serves {query["model"]}')
        elif preview.replica_id is None:
            # Items wait; the job itself is accepted.
            document['reasons'].append('no slot is free, so items wait')


def describe_route(route: deployment.Route) -> Document:
    """Describes a route as a JSON value."""
    return {
        'name': route.name,
        'kind': route.kind.value,
        'priority': route.priority,
        'is_public': route.is_public,
        'timeout_s': route.timeout_s,
        'objective_s': route.objective_s,
        'max_attempts': route.max_attempts,
        'services': {s.service: s.weight for s in route.shares},
    }


def find_account_refusals(
    text: deployment.PublishedText,
    route: deployment.Route,
    account: typing.Optional[str],
) -> list[str]:
    """Reasons for which requests of an account are refused.

    Names of accounts only: keys must not appear in an explanation.
    """
    if text.accounts is None or (route.is_public and account is None):
        return []
    if account is None:
        return ['the route needs a key; name its account']
    known = text.accounts.get(ids.AccountName(account))
    if known is None:
        return ['there is no such account']
    return [] if known.keys else [f'account {account} has no keys']


def _explain_choice(rows: list[Document], chosen: Document) -> list[str]:
    others = [row for row in rows if row is not chosen]
    reasons = []
    if 'expected' in chosen:
        later = sum(r['expected'] >= chosen['expected'] for r in others)
        reasons.append(
            f'{later} of {len(others)} other replicas finish later or at the'
            f' same time; among those within {NEAR_EQUAL_PERCENT} % of the'
            ' best the choice is random'
        )
    else:
        reasons.append('least load, as no replica reported its speed lately')
    if chosen['is_remote']:
        reasons.append(
            'it is in another failure domain, which counts as'
            f' {choice.REMOTE_DOMAIN_LOAD} of a request'
        )
    return reasons


def _finish(document: Document) -> Document:
    document['placed'] = not document['refusals']
    if not document['placed']:
        document['replica'] = None
    return document
