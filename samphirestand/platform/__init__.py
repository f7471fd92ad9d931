"""The platform: tables, objects and configuration."""
