"""Live calls on a platform deployment."""
