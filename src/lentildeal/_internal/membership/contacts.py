"""Reading of the platform's instance list, for first contacts."""

from __future__ import annotations

import typing

import eventlet
from loguru import logger

from lentildeal._internal import exceptions
from lentildeal._internal.platform import base
from lentildeal._internal.platform import http_instances  # noqa: F401
from lentildeal._internal.settings import settings as settings_module


def poll_list(
    settings: settings_module.Settings,
    take: typing.Callable[[list[base.ListedInstance]], None],
) -> None:
    """Reads the list for ever and logs when it goes down and comes back.

    Args:
        settings: Names the adapter and the interval.
        take: Called with each list.
    """
    endpoint = settings.platform.instances
    adapter = base.instance_lists.make(endpoint.adapter, endpoint)
    is_down = False
    while True:
        try:
            take(adapter.list_instances())
            if is_down:
                logger.info('instance list is back')
            is_down = False
        except exceptions.PlatformError as error:
            if not is_down:
                logger.warning('instance list is down: {}', error)
            is_down = True
        eventlet.sleep(settings.timing.instances_poll_ms / 1000)
