"""Tests of gateway to targets."""
