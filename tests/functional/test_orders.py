"""Orders to load weights on real engines, with and without fencing."""

import signal
import time

import pytest

from tests.lib import federation
from tests.lib import processes
from tests.lib import rollouts

# Time limit from the announcement until all engines serve a version.
POOL_LIMIT_S = 13.0
# Time limit for the repair of a replica that an older order reverted.
REPAIR_LIMIT_S = 5.0


def wait_for_version(engines, version, limit_s=30.0):
    """Waits until all engines serve a version."""
    processes.wait_for(
        lambda: rollouts.read_versions(engines) == {version},
        f'all engines serve version {version}',
        limit_s,
    )


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_woken_owner_does_not_set_weights_back(checks_fencing):
    """Guards against stale orders of an owner paused over an owner change."""
    with federation.Federation() as fed:
        engines = rollouts.start_pool(fed, checks_fencing=checks_fencing)
        daemons = fed.add_daemons({'a': 2, 'b': 2})
        rollouts.publish_version(fed, 1)
        wait_for_version(engines, 1)
        paused = [daemons[0], daemons[2]]
        for daemon in paused:
            daemon.signal(signal.SIGSTOP)
        rollouts.publish_version(fed, 2)
        wait_for_version(engines, 2)
        for daemon in paused:
            daemon.signal(signal.SIGCONT)
        stale_order = {'order': 'load_version', 'model': 'm', 'version': 1}
        for engine in engines:
            # A target reports fence 0 before its first order, so each token
            # that fences anything is above 0.
            status, _ = engine.call(
                'POST', '/orders', {**stale_order, 'fence': 0}
            )
            assert (status == 409) == checks_fencing
        time.sleep(0.5)
        wait_for_version(engines, 2, REPAIR_LIMIT_S)
        if checks_fencing:
            for engine in engines:
                assert_fences_never_decrease(engine.read_journal()['orders'])


def assert_fences_never_decrease(orders):
    fences = [order['fence'] for order in orders if order['taken']]
    assert fences == sorted(fences)


def test_pool_is_loaded_within_limit_at_rate_limit():
    """Guards against a rate-limited store that leaves old versions loaded."""
    with federation.Federation(versions_per_s=2.0) as fed:
        engines = rollouts.start_pool(fed, counts={'a': 3, 'b': 3})
        fed.add_daemons({'a': 2, 'b': 2}, timing={'weights_poll_ms': 500})
        for version in (1, 2):
            rollouts.publish_version(fed, version)
            wait_for_version(engines, version, POOL_LIMIT_S)


def test_log_outage_does_not_stop_loads():
    """Without the log, owners continue with the fence that targets report."""
    with federation.Federation() as fed:
        engines = rollouts.start_pool(fed, checks_fencing=True)
        daemons = fed.add_daemons({'a': 2, 'b': 2})
        rollouts.publish_version(fed, 1)
        wait_for_version(engines, 1)
        fed.log.signal(signal.SIGSTOP)
        daemons[0].kill()
        daemons[2].kill()
        rollouts.publish_version(fed, 2)
        wait_for_version(engines, 2)
