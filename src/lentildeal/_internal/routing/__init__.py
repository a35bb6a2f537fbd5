"""Slot queues, fair queueing and the choice of replicas."""
