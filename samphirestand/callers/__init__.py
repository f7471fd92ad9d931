"""Callers: HTTP, keys, session tokens and rates."""
