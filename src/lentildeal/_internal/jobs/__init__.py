"""Durable batch jobs."""
