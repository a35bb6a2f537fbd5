"""Polling of the platform's instance list."""

from __future__ import annotations

import random
import typing

import eventlet
from loguru import logger

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_instances  # noqa: F401
from lentildeal._internal import exceptions
from lentildeal._internal.settings import settings as settings_module


# Poll intervals between two reads once the list names this daemon. Daemons
# that start later find it there, so the list is then only needed to forget
# members. 350 entries every 2 s would be 23 kB/s, the whole traffic limit of
# a daemon.
LISTED_POLL_INTERVALS = 30


def poll(
    settings: settings_module.Settings,
    handle_list: typing.Callable[[list[base.ListedInstance]], None],
) -> None:
    """Polls the list endlessly and logs when its availability changes.

    The list gives the addresses of instances that are not known yet.

    Args:
        settings: Settings with the adapter and the interval.
        handle_list: Called with each list.
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
                delay_s = interval_s * LISTED_POLL_INTERVALS
            handle_list(listed)
            if is_down:
                logger.info('instance list is available again')
            is_down = False
        except exceptions.PlatformError as error:
            if not is_down:
                logger.warning('instance list is unavailable: {}', error)
            is_down = True
        # Jitter spreads the reads of daemons that start at the same time.
        eventlet.sleep(delay_s * random.uniform(0.8, 1.0))
