"""Demonstration: two federations of real processes with faults."""
