"""Tests of small helpers."""
