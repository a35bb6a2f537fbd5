"""Progress of long commands on standard error."""

from __future__ import annotations

import contextlib
import sys
import threading
import time
import typing

# A wait shorter than this shows nothing, in seconds.
QUIET_S = 1.0
REPEAT_S = 1.0


class Progress:
    """Prints a line now and then while a command waits."""

    def __init__(self, what: str) -> None:
        self._what = what
        self._started_s = time.monotonic()
        self._printed_s = self._started_s

    def update(self, detail: str) -> None:
        """Prints the state if the last line is old enough."""
        now_s = time.monotonic()
        if now_s - self._started_s < QUIET_S:
            return
        if now_s - self._printed_s < REPEAT_S:
            return
        self._printed_s = now_s
        seconds = now_s - self._started_s
        print(f'{self._what}: {detail} ({seconds:.0f} s)', file=sys.stderr)


@contextlib.contextmanager
def show_waiting(what: str) -> typing.Iterator[None]:
    """Prints lines while the body of a ``with`` statement waits."""
    ended = threading.Event()
    progress = Progress(what)

    def print_lines() -> None:
        while not ended.wait(REPEAT_S):
            progress.update('waiting')

    thread = threading.Thread(target=print_lines, daemon=True)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def poll(
    what: str,
    function: typing.Callable[[], typing.Optional[str]],
    limit_s: float,
    period_s: float = 0.1,
) -> bool:
    """Calls a function until it returns None or the time is over.

    Args:
        what: What the command waits for.
        function: Returns what is missing, None when nothing is.
        limit_s: Longest wait, in seconds.
        period_s: Pause between two calls, in seconds.

    Returns:
        Whether nothing is missing.
    """
    progress = Progress(what)
    deadline_s = time.monotonic() + limit_s
    while True:
        missing = function()
        if missing is None:
            return True
        if time.monotonic() >= deadline_s:
            return False
        progress.update(missing)
        time.sleep(period_s)
