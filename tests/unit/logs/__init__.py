"""Tests of logs to targets."""
