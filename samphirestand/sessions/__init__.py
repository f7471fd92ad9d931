"""Sessions of callers that speak the line protocol."""
