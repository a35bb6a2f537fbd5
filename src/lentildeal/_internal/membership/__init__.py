"""Live instances and ownership of replicas."""
