"""Plug-in ``orders``: keeps owned replicas on the latest weight version."""

from __future__ import annotations

import dataclasses
import typing

import eventlet
from loguru import logger
import prometheus_client

from lentildeal._internal.adapters import base
from lentildeal._internal.adapters import http_engine  # noqa: F401
from lentildeal._internal.adapters import http_weights  # noqa: F401
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import text as text_module
from lentildeal._internal.orders import pacing
from lentildeal._internal.orders import terms
from lentildeal._internal.utils import clock
from lentildeal._internal.utils import hashing
from lentildeal._internal.utils import wakeup

# Read-back interval while nothing is loading. A replica that a late order has
# reverted to an older version is detected within it; it has to be repaired
# within 5 s.
READ_BACK_INTERVAL_S = 1.0
# Read-back interval during a load.
LOADING_POLL_S = 0.25
# An order that has no effect after this time is sent again.
REPEAT_S = 1.0
# Oldest state that an order may be based on. A process that was paused between
# reading and ordering reads the state again.
MAX_STATE_AGE_S = 0.5
UPDATE_INTERVAL_S = 0.5
# Poll interval for the token of a newly owned replica.
TERM_POLL_S = 0.1

_orders_total = prometheus_client.Counter(
    'lentildeal_orders_total', 'Orders to targets by result.', ['result']
)
_load_seconds = prometheus_client.Histogram(
    'lentildeal_load_seconds',
    'Time from an order to the read-back of its version.',
    buckets=(0.25, 0.5, 1, 2, 4, 8, 13, 30),
)


@dataclasses.dataclass
class Replica:
    """An owned replica.

    Attributes:
        target: Target that the replica belongs to.
        address: Address of the replica.
        model: Model that the replica serves.
        pool: Addresses of all replicas of the target.
        is_owned: False once another daemon owns the replica.
        is_loading: Whether an ordered load is in progress.
        ordered_at_s: Time of the first order of the current load.
        repeat_at_s: Time before which the order is not sent again.
    """

    target: ids.TargetName
    address: ids.ReplicaAddress
    model: ids.ModelName
    pool: tuple[ids.ReplicaAddress, ...]
    is_owned: bool = True
    is_loading: bool = False
    ordered_at_s: float = 0.0
    repeat_at_s: float = 0.0


@plugins.register('orders', after=('config', 'membership', 'slots'))
class WeightOrders(plugins.Plugin):
    """Runs a loop for each owned replica: read state, order, read back."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._config = kernel.plugin('config')
        self._membership = kernel.plugin('membership')
        self._slots = kernel.plugin('slots')
        settings = kernel.settings
        endpoint = settings.platform.weights
        self._store = base.weight_stores.make(endpoint.adapter, endpoint)
        self._terms = terms.TermManager(
            self._config.log,
            settings.instance,
            kernel.incarnation,
        )
        self._engines: dict[ids.ReplicaAddress, base.Engine] = {}
        self._versions: dict[ids.ReplicaAddress, ids.Version] = {}
        self._replicas: dict[ids.ReplicaAddress, Replica] = {}
        self._version_times = pacing.VersionTimes()
        self._mean_load_time = pacing.MeanLoadTime()
        self._changed = wakeup.Wakeup()

    def start(self) -> None:
        """See the base class."""
        self._membership.on_version(self._on_version)
        self._kernel.spawn('owned-replicas', self._update_replicas)
        self._kernel.spawn('weight-store', self._poll_store)

    def version_of(
        self, address: ids.ReplicaAddress
    ) -> typing.Optional[ids.Version]:
        """Version last read back from an owned replica, None if unknown."""
        return self._versions.get(address)

    def engine_of(self, address: ids.ReplicaAddress) -> base.Engine:
        """Adapter of a replica, shared by all callers."""
        if address not in self._engines:
            self._engines[address] = base.engines.make(
                self._adapter_of(address), address
            )
        return self._engines[address]

    def _adapter_of(self, address: ids.ReplicaAddress) -> str:
        text = self._config.text
        if text is not None:
            for name, target in text.targets.items():
                if any(address == a for _, a in text.iter_replicas(name)):
                    return target.adapter
        return 'http'

    # Owned replicas and latest versions.

    def _update_replicas(self) -> None:
        while True:
            found = {r.address: r for r in self._find_owned()}
            for address in self._replicas.keys() - found.keys():
                self._replicas.pop(address).is_owned = False
                self._versions.pop(address, None)
            for address in found.keys() - self._replicas.keys():
                self._replicas[address] = found[address]
                self._kernel.spawn('orders', self._run_replica, found[address])
            self._terms.set_owned(self._replicas)
            eventlet.sleep(UPDATE_INTERVAL_S)

    def _find_owned(self) -> typing.Iterator[Replica]:
        text = self._config.text
        if text is None:
            return
        for name, _, address in self._slots.iter_owned():
            target = text.targets.get(name)
            if target and target.kind is text_module.TargetKind.ENGINE:
                pool = tuple(a for _, a in text.iter_replicas(name))
                yield Replica(name, address, target.model, pool)

    def _poll_store(self) -> None:
        """Polls the store for the latest versions.

        One daemon in each failure domain polls for a model and announces
        the version in its heartbeats, because the store limits the request
        rate.
        """
        interval_s = self._kernel.settings.timing.weights_poll_ms / 1000
        while True:
            for model in self._find_polled_models():
                try:
                    version = self._store.get_latest(model)
                    self._membership.announce_version(model, version)
                except exceptions.PlatformError as error:
                    logger.debug(
                        'failed to get the latest version of {}: {}',
                        model,
                        error,
                    )
            eventlet.sleep(interval_s)

    def _find_polled_models(self) -> list[ids.ModelName]:
        text = self._config.text
        if text is None:
            return []
        settings = self._kernel.settings
        neighbours = [
            member.instance
            for member in self._membership.live()
            if member.failure_domain == settings.failure_domain
        ]
        models = {t.model for t in text.targets.values() if t.model}
        return [
            model
            for model in sorted(models)
            if hashing.rank_by_rendezvous(model, neighbours)[:1]
            == [settings.instance]
        ]

    def _on_version(self, model: ids.ModelName, _) -> None:
        self._version_times.record(model, clock.monotonic_s())
        self._changed.set()

    # Loop of one replica.

    def _run_replica(self, replica: Replica) -> None:
        while replica.is_owned:
            wait_s = READ_BACK_INTERVAL_S
            try:
                read_s = clock.monotonic_s()
                state = self.engine_of(replica.address).get_state()
                wait_s = self._handle_state(replica, state, read_s)
            except exceptions.PlatformError as error:
                logger.debug('{}: {}', replica.address, error)
                self._versions.pop(replica.address, None)
                replica.is_loading = False
            self._changed.wait(max(0.01, wait_s))

    def _handle_state(
        self, replica: Replica, state: base.EngineState, read_s: float
    ) -> float:
        """Orders a load if one is due; returns the time to the next read."""
        if replica.is_owned:
            self._versions[replica.address] = state.version
        latest = self._membership.versions().get(replica.model)
        if latest is None or state.version >= latest:
            self._record_loaded(replica)
            return READ_BACK_INTERVAL_S
        if state.swapping_to is not None and state.swapping_to >= latest:
            return LOADING_POLL_S
        now_s = clock.monotonic_s()
        wait_s = self._get_wait_s(replica, state, latest, now_s)
        if wait_s > 0:
            return min(wait_s, READ_BACK_INTERVAL_S)
        if now_s - read_s > MAX_STATE_AGE_S:
            return 0.0
        self._order(replica, state, latest)
        return LOADING_POLL_S

    def _get_wait_s(
        self,
        replica: Replica,
        state: base.EngineState,
        latest: ids.Version,
        now_s: float,
    ) -> float:
        """Time until an order may be sent; 0 or less for now."""
        if not self._terms.is_ready(replica.address):
            return TERM_POLL_S
        if replica.is_loading:
            return replica.repeat_at_s - now_s
        loading = sum(
            other.is_loading
            for other in self._replicas.values()
            if other.target == replica.target
        )
        owned = sum(
            other.target == replica.target for other in self._replicas.values()
        )
        if loading >= pacing.max_concurrent_loads(owned):
            return LOADING_POLL_S
        bounds = self._list_bounds(replica.model)
        if not pacing.is_within_bounds(latest - state.version, bounds):
            return 0.0
        return self._get_start_time_s(replica) - now_s

    def _get_start_time_s(self, replica: Replica) -> float:
        """Time at which a replica may begin to load the latest version."""
        window_s = pacing.stagger_window_s(
            self._mean_load_time.mean_s,
            self._version_times.interval_s(replica.model),
        )
        return self._version_times.announced_at_s(
            replica.model
        ) + pacing.start_offset_s(replica.address, replica.pool, window_s)

    def _list_bounds(self, model: ids.ModelName) -> list[int]:
        text = self._config.text
        if text is None:
            return []
        return [
            trainer.staleness_bound
            for trainer in text.trainers.values()
            if trainer.model == model
        ]

    def _order(
        self, replica: Replica, state: base.EngineState, latest: ids.Version
    ) -> None:
        now_s = clock.monotonic_s()
        if not replica.is_loading:
            replica.is_loading = True
            replica.ordered_at_s = now_s
        replica.repeat_at_s = now_s + REPEAT_S
        fence = self._terms.token_for(replica.address, state.fence)
        try:
            self.engine_of(replica.address).load_version(
                replica.model, latest, fence
            )
            _orders_total.labels('taken').inc()
        except exceptions.FenceRejectedError as error:
            _orders_total.labels('fenced').inc()
            logger.warning('{}: {}', replica.address, error)
            self._terms.renew(replica.address)
        except exceptions.PlatformError as error:
            _orders_total.labels('unknown').inc()
            logger.debug('{}: {}', replica.address, error)

    def _record_loaded(self, replica: Replica) -> None:
        if not replica.is_loading:
            return
        replica.is_loading = False
        seconds = clock.monotonic_s() - replica.ordered_at_s
        self._mean_load_time.record(seconds)
        _load_seconds.observe(seconds)
