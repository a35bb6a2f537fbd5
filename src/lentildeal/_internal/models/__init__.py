"""Value types shared by all packages."""
