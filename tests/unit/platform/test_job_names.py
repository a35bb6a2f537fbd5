"""Jobs whose fields no replica can ever serve."""

import contextlib
import json

import pytest

from lentildeal._internal import exceptions
from lentildeal._internal.jobs import plugin
from lentildeal._internal.models import jobs
from lentildeal._internal.network import http_server
from lentildeal._internal.platform import ingress
from lentildeal._internal.platform import names
from tests.lib import fake_store
from tests.lib import job_builders
from tests.lib import platform_world
from tests.lib import store_kernel

UNUSABLE = ['', ' ', '\t', 'a\0', '\0', 'a\nb', '\x7f']


def decode(job):
    request = http_server.Request(
        'POST',
        '/rollouts/job',
        {},
        {},
        {names.REQUEST_ID.lower(): 'job'},
        json.dumps(job).encode(),
    )
    return ingress.decode_job(request, platform_world.HOST, '/rollouts/job')


@pytest.fixture
def kernel():
    store = fake_store.FakeStore()
    with contextlib.closing(store_kernel.StoreKernel(store)) as found:
        log = found.add_work_log()
        store_kernel.wait_for(lambda: log.is_caught_up)
        yield found


@pytest.mark.parametrize('value', UNUSABLE)
def test_model_that_nothing_can_have_is_named(value):
    # Guards against a step that is accepted and waits for a model for good.
    job = platform_world.make_job(['one'], Model=value)
    with pytest.raises(exceptions.BadRequestError, match='Model'):
        decode(job)


@pytest.mark.parametrize('value', [*UNUSABLE, ' one', 'one '])
def test_item_id_that_can_not_be_echoed_is_rejected(value):
    # Guards against an item whose answers never match its id: a replica gets
    # the id in a header, without the spaces around it.
    job = platform_world.make_job(['one'])
    job['Entries'][0]['Id'] = value
    with pytest.raises(exceptions.BadRequestError):
        decode(job)


@pytest.mark.parametrize('value', ['', 'a\0', ' one'])
def test_scoring_request_id_that_can_not_be_echoed_is_rejected(value):
    # Guards against the same for the score of an item.
    job = platform_world.make_scored_job(['one'])
    job['Entries'][0]['Scorer']['Id'] = value
    with pytest.raises(exceptions.BadRequestError):
        decode(job)


@pytest.mark.parametrize(
    'value', ['model', 'org/model:v1', 'a b', 'mod\u00e8le']
)
def test_usual_names_of_models_are_accepted(value):
    # Guards against refusals of names that a text may have.
    assert decode(
        platform_world.make_job(['one'], Model=value)
    ).head.model == (value)


def submit(kernel, model):
    head = job_builders.make_head('job', 1, model=model)
    plugin.Jobs(kernel).submit(jobs.Job(head, (job_builders.make_item(),)))


def test_job_of_a_model_without_a_service_is_refused(kernel):
    # Guards against a step that is accepted and of which no result is listed,
    # as its model is in no text. A later text may have it, so the refusal
    # tells when to come back.
    with pytest.raises(exceptions.NotRunError, match='other') as refusal:
        submit(kernel, 'other')
    assert refusal.value.cause == 'unknown_model'
    assert 0 < refusal.value.retry_after_s <= plugin.MAX_RETRY_AFTER_S
    submit(kernel, job_builders.MODEL)


def test_known_job_is_accepted_after_its_model_has_left(kernel):
    # Guards against a refusal that says that an accepted job does not run.
    submit(kernel, job_builders.MODEL)
    log = kernel.plugin('work_log')
    store_kernel.wait_for(lambda: log.table.get('job'))
    kernel.plugin('directory').text.services.clear()
    submit(kernel, job_builders.MODEL)
