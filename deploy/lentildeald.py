"""Starts the daemon from a checkout with the platform's settings file."""

import os
import pathlib
import sys

SETTINGS_VARIABLE = 'LENTILDEAL_NODE_FILE'

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from lentildeal._internal.kernel import main  # noqa: E402

if __name__ == '__main__':
    sys.argv[1:] = [os.environ[SETTINGS_VARIABLE]]
    sys.exit(main.main())
