"""Log service over HTTP."""

from __future__ import annotations

import http

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.settings import settings as settings_module


@base.log_services.register('http')
class HttpLogService(base.LogService):
    """Appends with POST and reads with a long-polling GET."""

    def __init__(self, endpoint: settings_module.Endpoint) -> None:
        self._url = endpoint.url.rstrip('/')
        self._timeout_s = endpoint.timeout_ms / 1000
        self._client = http_client.HttpClient()

    def append(self, stream: str, body: dict) -> ids.Offset:
        """See the base class."""
        url = f'{self._url}/streams/{stream}'
        try:
            response = self._client.send_json(
                'POST', url, body, timeout_s=self._timeout_s
            )
        except exceptions.NotRunError as error:
            raise exceptions.LogUnavailableError(error.message) from error
        except exceptions.MayHaveRunError as error:
            raise exceptions.LogAnswerLostError(error.message) from error
        if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            raise exceptions.LogUnavailableError(f'{url} responded with 503')
        try:
            return ids.Offset(int(response.read_json()['offset']))
        except (exceptions.PlatformError, KeyError, TypeError) as error:
            raise exceptions.LogAnswerLostError(
                f'{url} responded with {response.status} without an offset'
            ) from error

    def read(
        self, stream: str, start: ids.Offset, wait_s: float = 0.0
    ) -> base.LogPage:
        """See the base class."""
        url = (
            f'{self._url}/streams/{stream}'
            f'?from={start}&wait_ms={int(wait_s * 1000)}'
        )
        try:
            response = self._client.send_json(
                'GET', url, timeout_s=self._timeout_s + wait_s
            )
            if response.status != http.HTTPStatus.OK:
                raise exceptions.LogUnavailableError(
                    f'{url} responded with {response.status}'
                )
            return _to_page(response.read_json())
        except (
            exceptions.NotRunError,
            exceptions.MayHaveRunError,
            KeyError,
            TypeError,
        ) as error:
            raise exceptions.LogUnavailableError(str(error)) from error


def _to_page(value: dict) -> base.LogPage:
    records = tuple(
        base.LogRecord(ids.Offset(int(item['offset'])), item['body'])
        for item in value['records']
    )
    oldest = ids.Offset(int(value['oldest']))
    return base.LogPage(records, oldest, ids.Offset(int(value['next'])))
