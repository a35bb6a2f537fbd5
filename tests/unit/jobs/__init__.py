"""Tests of jobs to targets."""
