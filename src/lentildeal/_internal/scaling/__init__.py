"""Numbers of replicas that are ordered."""
