"""Tests of ordered replicas."""
