"""Client accounts: who sends a request and what it may see."""
