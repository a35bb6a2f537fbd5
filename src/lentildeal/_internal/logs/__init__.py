"""Structured log lines for decisions."""
