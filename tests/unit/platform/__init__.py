"""Tests of platform to targets."""
