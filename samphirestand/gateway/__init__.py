"""Gateways: the connections, queues and transactions at targets."""
