"""The published federation text: parsing, checks and replication."""
