"""HTTP interface for live callers."""
