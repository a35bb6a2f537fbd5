"""Tests of the status and service-level reports."""
