"""Opening of jobs while the store fails."""

import types

import eventlet
import pytest

from lentildeal._internal.directory import replicas
from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import runner as runner_module
from lentildeal._internal.jobs import work_log
from tests.lib import fake_store
from tests.lib import job_builders


class Kernel:
    """Kernel whose duties are all held by this daemon."""

    def __init__(self, store):
        self.settings = types.SimpleNamespace(
            instance='a',
            store=types.SimpleNamespace(
                call_bytes=2_000_000, record_bytes=262_144, status_s=1e9
            ),
        )
        self.plugins = {
            'directory': types.SimpleNamespace(
                platform=types.SimpleNamespace(store=store),
                replicas=replicas.ReplicaTable(),
                text=job_builders.make_published_text(),
            ),
            'duties': types.SimpleNamespace(
                find_term=lambda duty: 1, is_taken_over=lambda duty: False
            ),
        }
        self.threads = []

    def plugin(self, name):
        return self.plugins[name]

    def spawn(self, name, function, *arguments):
        self.threads.append(eventlet.spawn(function, *arguments))


@pytest.fixture
def store():
    return fake_store.FakeStore()


@pytest.fixture
def log(store, monkeypatch):
    monkeypatch.setattr(
        runner_module.clock, 'unix_s', lambda: job_builders.NOW_S
    )
    kernel = Kernel(store)
    kernel.plugins['work_log'] = work_log.WorkLog(kernel)
    kernel.plugins['work_log'].start()
    kernel.spawn('runner', runner_module.JobRunner(kernel).run)
    yield kernel.plugins['work_log']
    for thread in kernel.threads:
        thread.kill()


def submit(log, job_id, item_ids):
    items = [job_builders.make_item(item_id) for item_id in item_ids]
    ((_, part),) = records.split_items(items, 262_144)
    (place,) = log.append_texts(records.text_stream(job_id), [part])
    accepted = job_builders.make_accepted(
        job_id, item_ids, submitted_ms=int(job_builders.NOW_S * 1000)
    )
    log.append(
        [
            records.JobAccepted(
                accepted.head,
                accepted.item_ids,
                ((0, place.offset, place.size_bytes),),
            )
        ]
    )


def wait_for(condition):
    with eventlet.Timeout(10.0):
        while not condition():
            eventlet.sleep(0.005)


@pytest.mark.parametrize('failures', [0, 1, 2])
def test_carried_item_is_listed_although_its_text_fails_to_come(
    store, log, monkeypatch, failures
):
    # Guards against a job that never runs after one failed read.
    monkeypatch.setattr(runner_module, 'OPEN_RETRY_S', 0.01)
    submit(log, 'old', ('i0', 'i1'))
    wait_for(lambda: log.table.get('old'))
    log.enqueue(records.ItemResult('old', 0, 'done', (1,)), ('text',))
    log.enqueue(records.JobEnd('old'))
    wait_for(lambda: log.table.get('old').is_ended)
    log.forget_texts()
    store.failing_text_reads = failures
    submit(log, 'new', ('i0', 'i1'))
    wait_for(lambda: log.table.get('new') and log.table.get('new').results)
    (listed,) = log.table.get('new').results
    (text,) = log.read_texts([listed.place])
    assert text.text == 'text'
