"""Tests of what a daemon says of itself."""
