"""Status and service-level reports."""
