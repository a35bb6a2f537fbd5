"""Tests of scoring calls."""
