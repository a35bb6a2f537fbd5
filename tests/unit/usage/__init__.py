"""Tests of counts of requests and their reports."""
