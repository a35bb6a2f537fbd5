"""Forwarding of live calls on a platform deployment."""
