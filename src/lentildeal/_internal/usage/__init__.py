"""Reports of the requests that replicas began."""
