"""Adapter to the users' platform: its names, file formats and calls."""
