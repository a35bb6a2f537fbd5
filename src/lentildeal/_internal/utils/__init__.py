"""Helpers that do not depend on other packages of the project."""
