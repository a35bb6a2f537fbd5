"""Life cycle of the daemon and the plug-in registry."""
