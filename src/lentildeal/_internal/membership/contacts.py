"""Reading of the platform's instance list, for first contacts."""

from __future__ import annotations

import random
import typing

import eventlet
from loguru import logger

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_instances  # noqa: F401
from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module


# Once the list names this daemon, whoever starts later finds it there, and
# the list is needed only to forget. 350 entries every 2 s would be 23 kB/s,
# all that a daemon may use.
SETTLED_INTERVALS = 30


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
    interval_s = settings.timing.instances_poll_ms / 1000
    is_down = False
    while True:
        delay_s = interval_s
        try:
            listed = adapter.list_instances()
            if any(item.instance == settings.instance for item in listed):
                delay_s = interval_s * SETTLED_INTERVALS
            take(listed)
            if is_down:
                logger.info('instance list is back')
            is_down = False
        except exceptions.PlatformError as error:
            if not is_down:
                logger.warning('instance list is down: {}', error)
            is_down = True
        # Jitter, so that daemons that start together don't read together.
        eventlet.sleep(delay_s * random.uniform(0.8, 1.0))
