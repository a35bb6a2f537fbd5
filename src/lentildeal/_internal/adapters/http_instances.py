"""Instance list over HTTP."""

from __future__ import annotations

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.network import http_client
from lentildeal._internal.settings import settings as settings_module


@base.instance_lists.register('http')
class HttpInstanceList(base.InstanceList):
    """Reads the complete list with GET."""

    def __init__(self, endpoint: settings_module.Endpoint) -> None:
        self._url = f'{endpoint.url.rstrip("/")}/instances'
        self._timeout_s = endpoint.timeout_ms / 1000
        self._client = http_client.HttpClient()

    def list_instances(self) -> list[base.ListedInstance]:
        """See the base class."""
        try:
            response = self._client.send_json(
                'GET', self._url, timeout_s=self._timeout_s
            )
            return [
                _to_instance(item)
                for item in response.read_json()['instances']
            ]
        except (
            exceptions.NotRunError,
            exceptions.MayHaveRunError,
            KeyError,
            TypeError,
        ) as error:
            raise exceptions.PlatformError(
                f'instance list {self._url}: {error}'
            ) from error


def _to_instance(item: dict) -> base.ListedInstance:
    return base.ListedInstance(
        instance=item['instance'],
        failure_domain=item['failure_domain'],
        peer_address=item['peer_address'],
        http_address=item['http_address'],
        is_leaving=bool(item['leaving']),
    )
