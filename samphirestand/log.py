"""Logging: structlog JSON lines on the standard error stream."""

import logging
import sys
from typing import Any

import structlog


def configure(host_id: str, level: str = 'info') -> None:
    """Write JSON lines that name ``host_id`` to the standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    structlog.contextvars.bind_contextvars(host=host_id)


def get_logger(name: str) -> Any:
    """Return a logger whose lines carry the module's ``name``."""
    return structlog.get_logger(module=name)
