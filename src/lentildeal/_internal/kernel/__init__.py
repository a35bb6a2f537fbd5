"""Life cycle of the daemon and the registry of its plug-ins."""
