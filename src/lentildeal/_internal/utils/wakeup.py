"""A signal that wakes all green threads waiting for it."""

import eventlet
import eventlet.event


class Wakeup:
    """Wakes waiters; a signal without waiters is not kept.

    A waiter checks its condition before each wait. It can't miss a signal
    between the two, because green threads switch only at waits and I/O.
    """

    def __init__(self) -> None:
        self._event = eventlet.event.Event()

    def set(self) -> None:
        """Wakes all green threads that wait now."""
        event, self._event = self._event, eventlet.event.Event()
        event.send()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the signal.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            False if the time has passed without a signal.
        """
        event = self._event
        with eventlet.Timeout(timeout_s, False):
            event.wait()
            return True
        return False
