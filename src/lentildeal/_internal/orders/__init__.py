"""Weight-version orders to replicas."""
