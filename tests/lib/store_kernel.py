"""A kernel whose directory uses a fake store."""

from __future__ import annotations

import contextlib
import dataclasses
import types

import eventlet

from lentildeal._internal.directory import replicas
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import work_log
from lentildeal._internal.kernel import kernel as kernel_module
from lentildeal._internal.routing import replica_limits
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import read_pacing
from tests.lib import job_builders

WAIT_S = 10.0
RETENTION_S = 300.0
RECORD_BYTES = 262_144


class StoreKernel:
    """Holds the plug-ins that the work log and the jobs need.

    Attributes:
        store: The fake store.
        plugins: Plug-ins by name; tests add the ones under test.
    """

    def __init__(self, store, status_s=1e9) -> None:
        self.store = store
        self.incarnation = 1
        self.state = kernel_module.KernelState.SERVING
        self.settings = types.SimpleNamespace(
            instance='a',
            duties=None,
            hedging=settings_module.Hedging(),
            limits=settings_module.Limits(),
            store=types.SimpleNamespace(
                call_bytes=2_000_000,
                record_bytes=RECORD_BYTES,
                retention_s=RETENTION_S,
                status_s=status_s,
            ),
        )
        self.plugins = {
            'directory': types.SimpleNamespace(
                platform=types.SimpleNamespace(store=store),
                replicas=replicas.ReplicaTable(),
                text=job_builders.make_published_text(),
                request_text=lambda version: None,
                is_loaded=True,
                read_demand=read_pacing.ReadDemand(),
            ),
            'gateway': types.SimpleNamespace(
                choose=lambda service, tried: None
            ),
            'usage': types.SimpleNamespace(
                track=lambda route, account: contextlib.nullcontext()
            ),
            # This daemon holds all leases.
            'duties': types.SimpleNamespace(
                find_term=lambda lease_name: 1,
                is_taken_over=lambda lease_name: False,
            ),
        }
        self._threads: list = []

    def plugin(self, name):
        """See ``kernel.Kernel``."""
        return self.plugins[name]

    def spawn(self, _name, function, *arguments):
        """See ``kernel.Kernel``."""
        self._threads.append(eventlet.spawn(function, *arguments))

    def add_work_log(self, is_started=True) -> work_log.WorkLog:
        """Adds a work log, and starts it if requested."""
        log = self.plugins['work_log'] = work_log.WorkLog(self)
        self.plugins['replica_limits'] = replica_limits.ReplicaLimits(self)
        if is_started:
            log.start()
        return log

    def close(self) -> None:
        """Kills all threads."""
        for thread in self._threads:
            thread.kill()


def submit(log, job_id, item_ids, text_version=1, **overrides):
    """Appends a job whose items are in one part; returns its offset.

    Args:
        log: Work log.
        job_id: The job.
        item_ids: Its items.
        text_version: Published text of the acceptance.
        **overrides: Fields of all items.
    """
    items = [
        job_builders.make_item(item_id, **overrides) for item_id in item_ids
    ]
    ((_, part),) = records.split_items(items, RECORD_BYTES)
    (location,) = log.append_texts(records.text_stream_name(job_id), [part])
    accepted = job_builders.make_accepted(
        job_id, item_ids, submitted_ms=int(job_builders.NOW_S * 1000)
    )
    return log.append(
        [
            records.JobText(job_id, text_version),
            dataclasses.replace(
                accepted, parts=((0, location.offset, location.size_bytes),)
            ),
        ]
    )


def wait_for(condition) -> None:
    """Waits until a condition holds."""
    with eventlet.Timeout(WAIT_S):
        while not condition():
            eventlet.sleep(0.005)
