"""Adapter of the external platform: names, formats and calls."""
