"""Stand-ins for the external systems, for tests and the demonstration.

Each module is one process, run as ``python -m standins.log --port 0``. The
first line of its standard output is the port that it has bound. A stand-in
shares no code with the product, so that an error in one can't hide in both.
"""
