"""The language in which operators query and change the system."""
