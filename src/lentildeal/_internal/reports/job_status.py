"""Plug-in ``job_status``: status of a daemon of a platform and of all jobs.

``GET /v1/status`` on the addresses of readiness checks and metrics, which
clients don't reach. Every daemon knows all open jobs from the work log; what
runs is known only to the daemon that runs it.
"""

from __future__ import annotations

import typing

from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.network import http_server

PATH = '/v1/status'


@plugins.register('job_status', after=('jobs', 'readiness'))
class JobStatus(plugins.Plugin):
    """Serves the status of this daemon and the open jobs."""

    def start(self) -> None:
        """See the base class."""
        router = self._kernel.plugin('readiness').router
        router.add('GET', PATH, self._handle)

    def describe(self) -> dict[str, typing.Any]:
        """Returns the status as a JSON value."""
        settings = self._kernel.settings
        log = self._kernel.plugin('work_log')
        text = self._kernel.plugin('directory').text
        return {
            'instance': settings.instance,
            'incarnation': self._kernel.incarnation,
            'failure_domain': settings.failure_domain,
            'http_address': settings.http_address,
            'state': self._kernel.state.value,
            'is_ready': self._kernel.plugin('readiness').is_ready,
            'is_store_reachable': log.is_synced,
            'text_version': None if text is None else text.version,
            'requests_in_flight': self._kernel.http_server.in_flight,
            'jobs': self._kernel.plugin('jobs').describe_open_jobs(),
        }

    def _handle(self, request: http_server.Request) -> http_server.Response:
        if request.query.get('scope', 'instance') != 'instance':
            raise exceptions.BadRequestError(
                'the daemons of a platform do not know each other',
                remedy='ask each daemon without --all',
            )
        return http_server.json_response(self.describe())
