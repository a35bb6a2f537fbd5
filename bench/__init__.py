"""Benchmarks, compared with baselines and bounds."""
