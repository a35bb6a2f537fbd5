"""Tests of the real programs."""
