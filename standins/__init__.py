"""Stand-ins for targets and the platform, for tests and examples."""
