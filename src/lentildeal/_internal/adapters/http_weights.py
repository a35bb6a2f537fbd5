"""Weight store over HTTP."""

from __future__ import annotations

import http

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.settings import settings as settings_module


@base.weight_stores.register('http')
class HttpWeightStore(base.WeightStore):
    """Reads the latest version with GET."""

    def __init__(self, endpoint: settings_module.Endpoint) -> None:
        self._url = endpoint.url.rstrip('/')
        self._timeout_s = endpoint.timeout_ms / 1000
        self._client = http_client.HttpClient()

    def get_latest(self, model: ids.ModelName) -> ids.Version:
        """See the base class."""
        url = f'{self._url}/models/{model}/latest'
        try:
            response = self._client.send_json(
                'GET', url, timeout_s=self._timeout_s
            )
            if response.status != http.HTTPStatus.OK:
                raise exceptions.PlatformError(
                    f'{url} responded with {response.status}'
                )
            return ids.Version(int(response.read_json()['version']))
        except (
            exceptions.NotRunError,
            exceptions.MayHaveRunError,
            KeyError,
            TypeError,
        ) as error:
            raise exceptions.PlatformError(f'{url}: {error}') from error
