"""Sessions of callers on the line protocol."""
