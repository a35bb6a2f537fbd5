"""Framework of the command-line client."""
