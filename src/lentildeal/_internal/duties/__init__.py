"""Calls to the platform that only one daemon at a time may make."""
