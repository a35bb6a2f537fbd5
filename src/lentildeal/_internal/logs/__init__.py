"""Structured logging of events."""
