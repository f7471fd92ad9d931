"""Links between hosts, membership, rate limits, and store watches."""
