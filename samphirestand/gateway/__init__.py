"""Gateways: queue statements and run them on the targets of a service."""
