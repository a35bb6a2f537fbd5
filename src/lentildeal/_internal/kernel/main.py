"""Entry point of the daemon ``lentildeald``."""

import signal
import warnings

# The default action would end the process while it loads its modules. The
# settings are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Each line of standard error must be a JSON object; the deprecation warning
# that eventlet prints on import is not.
warnings.filterwarnings('ignore', r'\s*Eventlet is deprecated')

# Must run before any other module imports the original socket functions.
import eventlet  # noqa: E402

eventlet.monkey_patch()

import argparse  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

from loguru import logger  # noqa: E402

from lentildeal._internal import exceptions  # noqa: E402
from lentildeal._internal.kernel import kernel  # noqa: E402
from lentildeal._internal.logs import events  # noqa: E402
from lentildeal._internal.logs import output  # noqa: E402
from lentildeal._internal.settings import settings  # noqa: E402
from lentildeal._internal.utils import allocator  # noqa: E402

EXIT_OK = 0
EXIT_SETTINGS = 2


def main() -> int:
    """Runs a daemon until SIGTERM or SIGINT and returns its exit status."""
    parser = argparse.ArgumentParser(prog='lentildeald')
    parser.add_argument('settings', type=pathlib.Path)
    arguments = parser.parse_args()
    try:
        loaded = settings.load(arguments.settings)
    except exceptions.SettingsError as error:
        return _report_settings_error(error)
    _configure_log(loaded)
    if loaded.resources.memory_mb is not None:
        allocator.return_large_blocks()
    daemon = kernel.Kernel(loaded)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: daemon.request_drain())
    # The default action of SIGHUP is to end the process.
    signal.signal(signal.SIGHUP, lambda *_: daemon.request_reload())
    daemon.watch_settings(arguments.settings)
    try:
        daemon.run()
    except exceptions.SettingsError as error:
        return _report_settings_error(error)
    return EXIT_OK


def _report_settings_error(error: exceptions.SettingsError) -> int:
    print(f'lentildeald: {error.message}', file=sys.stderr)
    print(f'remedy: {error.remedy}', file=sys.stderr)
    return EXIT_SETTINGS


def _configure_log(loaded: settings.Settings) -> None:
    logger.remove()
    logger.configure(extra={'instance': loaded.instance})
    events.set_common(instance=loaded.instance)
    if loaded.store is None:
        logger.add(
            sys.stderr,
            level=loaded.logging.level,
            serialize=True,
            diagnose=False,
        )
        return
    # Messages are JSON objects already. A slow reader loses lines instead of
    # blocking the daemon.
    logger.add(
        output.NonBlockingOutput(sys.stdout.fileno()).write,
        level=loaded.logging.level,
        format='{message}',
        colorize=False,
        catch=False,
        # Values of variables in tracebacks include the keys of clients.
        diagnose=False,
    )


if __name__ == '__main__':
    sys.exit(main())
