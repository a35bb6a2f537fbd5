"""Plug-in ``readiness``: readiness checks and metrics."""

from __future__ import annotations

import typing

import prometheus_client

from lentildeal._internal.kernel import kernel as kernel_module
from lentildeal._internal.kernel import plugins
from lentildeal._internal.logs import events
from lentildeal._internal.network import http_server

METRICS_PATH = '/metrics'


@plugins.register('readiness', after=('directory', 'work_log'))
class Readiness(plugins.Plugin):
    """Serves readiness checks and metrics on separate addresses."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._directory = kernel.plugin('directory')
        self._log = kernel.plugin('work_log')
        self._was_ready: typing.Optional[bool] = None
        self.router = http_server.Router()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new requests here.

        A daemon that can't reach the store can't accept jobs or list
        results, while other daemons may. If the store is unreachable for all
        daemons, the platform's load balancer uses all of them.
        """
        is_serving = self._kernel.state is kernel_module.KernelState.SERVING
        return is_serving and self._directory.is_loaded and self._log.is_synced

    def start(self) -> None:
        """See the base class."""
        settings = self._kernel.settings
        self.router.add('GET', METRICS_PATH, self._get_metrics)
        for address in (settings.ready_address, settings.metrics_address):
            if address is not None:
                http_server.HttpServer(
                    settings,
                    self.router,
                    address,
                    self._kernel.http_server.budget,
                ).start()

    def handle_check(
        self, _request: http_server.Request
    ) -> http_server.Response:
        """Handles a readiness check: 200 if ready, otherwise 503."""
        is_ready = self.is_ready
        if is_ready is not self._was_ready:
            self._was_ready = is_ready
            events.emit('readiness', ready=is_ready)
        return http_server.Response(200 if is_ready else 503)

    def _get_metrics(
        self, _request: http_server.Request
    ) -> http_server.Response:
        return http_server.Response(
            200,
            {'Content-Type': prometheus_client.CONTENT_TYPE_LATEST},
            prometheus_client.generate_latest(),
        )
