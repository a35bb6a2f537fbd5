"""HTTP and peer connections."""
