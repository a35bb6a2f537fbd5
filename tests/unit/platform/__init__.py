"""Tests of the external platform's adapter."""
