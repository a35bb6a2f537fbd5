"""The published federation text: parsing, checks, fold."""
