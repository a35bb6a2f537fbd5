"""Demonstration of a whole federation."""
