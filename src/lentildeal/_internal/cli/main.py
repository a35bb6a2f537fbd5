"""Entry of the command-line client ``lentildeal``."""

import sys


def main() -> int:
    """Runs the client and returns its exit status."""
    return 0


if __name__ == '__main__':
    sys.exit(main())
