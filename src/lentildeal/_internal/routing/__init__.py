"""Queues, fair shares and choice of replicas."""
