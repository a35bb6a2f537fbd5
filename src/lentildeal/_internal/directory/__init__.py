"""Published text and replicas, followed from the platform's store."""
