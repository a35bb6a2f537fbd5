"""Tests of the gateway for live calls."""
