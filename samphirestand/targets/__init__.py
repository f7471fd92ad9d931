"""Connections to database servers, their gateways and failover."""
