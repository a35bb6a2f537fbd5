"""Tests of helpers."""
