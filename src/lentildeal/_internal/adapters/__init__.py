"""Adapters for outside systems."""
