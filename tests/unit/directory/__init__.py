"""Tests of directory to targets."""
