"""A signal that wakes all waiting green threads."""

import eventlet
import eventlet.event


class Wakeup:
    """Wakes waiting green threads; a signal without waiters is lost.

    A waiter checks its condition before each wait. It can't miss a signal
    between the two, because green threads switch only at waits and I/O.
    """

    def __init__(self) -> None:
        self._event = eventlet.event.Event()

    def set(self) -> None:
        """Wakes all green threads that are currently waiting."""
        event, self._event = self._event, eventlet.event.Event()
        event.send()

    def wait(self, timeout_s: float) -> bool:
        """Waits for the signal.

        Args:
            timeout_s: Maximum time to wait, in seconds.

        Returns:
            Whether a signal came before the timeout.
        """
        event = self._event
        with eventlet.Timeout(timeout_s, False):
            event.wait()
            return True
        return False
