"""Builders and helpers for tests."""
