"""Members of the federation and ownership of replicas."""
