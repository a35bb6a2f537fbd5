"""A daemon with duties on a fake store, and a fake platform."""

from __future__ import annotations

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.duties import plugin as duties_plugin
from lentildeal._internal.settings import settings as settings_module
from tests.lib import store_kernel

TERM = 7


class FakePlatform:
    """Answers calls with the given outcomes, then with DONE.

    An outcome that is an exception is raised.
    """

    def __init__(self, store):
        self.store = store
        self.calls = []
        self.outcomes = []

    def report_usage(self, report, duty):
        """Records a report as a comparable tuple."""
        return self._answer((report.window, dict(report.counts), duty))

    def order_replicas(self, order, duty):
        """Records an order."""
        return self._answer(order)

    def _answer(self, call):
        self.calls.append(call)
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if isinstance(outcome, Exception):
            raise outcome
        return outcome or platform_base.DutyOutcome.DONE


class DutyDaemon:
    """One daemon, which is its own lease manager, on a store.

    Attributes:
        is_holder: Whether it holds all leases.
        resigned: Leases from which it resigned.
    """

    def __init__(self, store, incarnation=1, is_holder=True, **settings):
        self.kernel = store_kernel.StoreKernel(store)
        self.kernel.incarnation = incarnation
        self.kernel.settings.duties = settings_module.Duties(
            address='x', **settings
        )
        self.kernel.settings.store.requires_fence = True
        self.platform = FakePlatform(store)
        self.is_holder = is_holder
        self.resigned = []
        self.kernel.plugins['duties'] = self
        self.directory = self.kernel.plugins['directory']
        self.directory.platform = self.platform
        self.kernel.add_work_log()
        self.calls = duties_plugin.DutyCalls(self.kernel)
        self.kernel.plugins['duty_calls'] = self.calls
        self.calls.start()

    def find_term(self, lease_name):
        """See ``lease_manager.LeaseManager``."""
        return TERM if self.is_holder else None

    def may_order(self, lease_name):
        """See ``lease_manager.LeaseManager``."""
        return self.is_holder

    def resign(self, lease_name, reason):
        """See ``lease_manager.LeaseManager``."""
        self.resigned.append(lease_name)
        self.is_holder = False
