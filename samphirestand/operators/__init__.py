"""Operators: the query and command language."""
