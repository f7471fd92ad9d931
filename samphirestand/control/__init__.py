"""The operators' configuration of the daemon: changes, history and audit."""
