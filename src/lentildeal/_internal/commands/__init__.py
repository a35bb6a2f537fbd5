"""One module for each client command."""
