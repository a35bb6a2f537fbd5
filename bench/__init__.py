"""Measurements against baselines and bounds."""
