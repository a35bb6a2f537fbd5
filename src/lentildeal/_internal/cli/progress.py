"""Progress output of long-running commands on standard error."""

from __future__ import annotations

import contextlib
import sys
import threading
import time
import typing

# Nothing is printed for waits shorter than this.
INITIAL_DELAY_S = 1.0
PRINT_INTERVAL_S = 1.0


class Progress:
    """Prints progress lines at a limited rate while a command waits.

    Args:
        label: What the command waits for; starts each line.
    """

    def __init__(self, label: str) -> None:
        self._label = label
        self._started_s = time.monotonic()
        self._printed_s = self._started_s

    def update(self, detail: str) -> None:
        """Prints the state unless a line was printed just before."""
        now_s = time.monotonic()
        if now_s - self._started_s < INITIAL_DELAY_S:
            return
        if now_s - self._printed_s < PRINT_INTERVAL_S:
            return
        self._printed_s = now_s
        seconds = now_s - self._started_s
        print(f'{self._label}: {detail} ({seconds:.0f} s)', file=sys.stderr)


@contextlib.contextmanager
def show_waiting(label: str) -> typing.Iterator[None]:
    """Prints progress lines while the body of a ``with`` statement runs."""
    is_done = threading.Event()
    progress = Progress(label)

    def print_lines() -> None:
        while not is_done.wait(PRINT_INTERVAL_S):
            progress.update('waiting')

    thread = threading.Thread(target=print_lines, daemon=True)
    thread.start()
    try:
        yield
    finally:
        is_done.set()
        thread.join()


def poll(
    label: str,
    function: typing.Callable[[], typing.Optional[str]],
    limit_s: float,
    period_s: float = 0.1,
) -> bool:
    """Calls a function until it returns None or the time limit is reached.

    Args:
        label: What the command waits for; starts each progress line.
        function: Returns what is still missing, or None if nothing is.
        limit_s: Time limit.
        period_s: Delay between two calls.

    Returns:
        Whether the function returned None in time.
    """
    progress = Progress(label)
    deadline_s = time.monotonic() + limit_s
    while True:
        missing = function()
        if missing is None:
            return True
        if time.monotonic() >= deadline_s:
            return False
        progress.update(missing)
        time.sleep(period_s)
