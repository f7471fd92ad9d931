"""Requests of callers: HTTP, keys, session tokens and rate limits."""
