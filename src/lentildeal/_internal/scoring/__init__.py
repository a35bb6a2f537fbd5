"""Scoring calls: when they are sent, repeated and given up."""
