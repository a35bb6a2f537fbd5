"""Builders of jobs, their records, replicas and published texts."""

from __future__ import annotations

import dataclasses

from lentildeal._internal.jobs import records
from lentildeal._internal.jobs import scheduling
from lentildeal._internal.models import deployment
from lentildeal._internal.models import jobs

MODEL = 'model'
SERVICE = 'engines'
SCORING_SERVICE = 'desk'
HOST = 'club.example'
# Unix time of tests that need one, in seconds.
NOW_S = 1_000_000.0


def make_item(item_id='i0', group='g0', **overrides) -> jobs.Item:
    """An item of the path that ``make_route`` covers."""
    values = {
        'item_id': item_id,
        'group': group,
        'path': '/rollouts/1',
        'headers': {'X-Kept': 'yes'},
        'body': b'prompt',
        'expected_tokens': 10,
    }
    return jobs.Item(**{**values, **overrides})


def make_scoring(request_id='s0', **overrides) -> jobs.ScoringRequest:
    """A request of the path that ``make_scoring_route`` covers."""
    values = {
        'request_id': request_id,
        'host': HOST,
        'path': '/scores/1',
        'body': b'text',
    }
    return jobs.ScoringRequest(**{**values, **overrides})


def make_head(job_id='job', item_count=2, **overrides) -> jobs.JobHead:
    """Head of a job that accepts version 1 and newer."""
    values = {
        'job_id': job_id,
        'host': HOST,
        'path': '/rollouts/job',
        'model': MODEL,
        'step': 1,
        'min_version': 1,
        'required_groups': 1,
        'submitted_ms': 1_000,
        'item_count': item_count,
    }
    return jobs.JobHead(**{**values, **overrides})


def make_accepted(job_id='job', item_ids=('i0', 'i1'), **overrides):
    """Record of an accepted job with one part at offset 0."""
    head = make_head(job_id, len(item_ids), **overrides)
    return records.JobAccepted(
        dataclasses.astuple(head), tuple(item_ids), ((0, 0, 10),)
    )


def make_result(job_id='job', index=0, offset=5, state='done', versions=(1,)):
    """Record of a result."""
    return records.ItemResult(job_id, index, state, versions, offset, 8)


def make_candidate(replica_id='r1', version=1, free_slots=4, **overrides):
    """A candidate with free slots and an unknown pace."""
    values = {'slots': 4, **overrides}
    return scheduling.Candidate(replica_id, version, free_slots, **values)


def make_replica(replica_id='r1', **overrides) -> deployment.Replica:
    """A ready replica at version 1."""
    values = {
        'replica_id': replica_id,
        'service': SERVICE,
        'address': '10.0.0.1:80',
        'failure_domain': 'd1',
        'slots': 4,
        'state': deployment.ReplicaState.READY,
        'versions': {MODEL: 1},
        'started_ms': 1,
    }
    return deployment.Replica(**{**values, **overrides})


def make_route(**overrides) -> deployment.Route:
    """Route of batch jobs."""
    values = {
        'name': 'rollouts',
        'host': HOST,
        'path_prefix': '/rollouts/',
        'kind': deployment.RouteKind.ROLLOUT,
        'shares': (deployment.Share(SERVICE, 1),),
        'timeout_s': 1.0,
        'objective_s': 0.4,
        'max_attempts': 3,
        'deadline_s': 7.5,
        'max_item_age_s': 40.0,
    }
    return deployment.Route(**{**values, **overrides})


def make_scoring_route(**overrides) -> deployment.Route:
    """Route of scoring requests."""
    values = {
        'name': 'scores',
        'path_prefix': '/scores/',
        'kind': deployment.RouteKind.SAFE,
        'shares': (deployment.Share(SCORING_SERVICE, 1),),
        **overrides,
    }
    return make_route(**values)


def make_accounts(**keys) -> dict[str, deployment.Account]:
    """Accounts by name, each with its list of keys."""
    return {
        name: deployment.Account(name, frozenset(own))
        for name, own in keys.items()
    }


def make_published_text(
    *routes, version=1, accounts=None
) -> deployment.PublishedText:
    """Published text with one engine service of one model."""
    return deployment.PublishedText(
        accounts=accounts,
        version=version,
        routes=routes or (make_route(),),
        services={SERVICE: deployment.Service(SERVICE, (MODEL,), 4, 100, 1)},
        limits=deployment.IngressLimits(),
    )
