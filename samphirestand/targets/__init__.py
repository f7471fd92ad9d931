"""Targets: connections, gateways and failover."""
