"""Small helpers by topic."""
