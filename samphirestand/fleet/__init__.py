"""The fleet: links between hosts, membership, rates and watches."""
