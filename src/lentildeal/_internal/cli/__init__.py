"""Frame of the command-line client."""
