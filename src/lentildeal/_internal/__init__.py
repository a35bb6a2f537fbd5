"""Implementation; nothing here is a public interface."""
