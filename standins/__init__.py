"""Stand-ins for the external systems, for tests and the demonstration.

Each module is one process, run as ``python -m standins.log --port 0``. It
prints the port that it has bound as the first line of standard output. A
stand-in shares no code with the product, so that one error can't affect both
and go unnoticed.
"""
