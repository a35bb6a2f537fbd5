"""Tests of the HTTP interface for live callers."""
