"""Load generator, fault scripts and checker."""
