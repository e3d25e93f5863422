"""Numbered log events and the logger that writes them as JSON lines."""

import enum
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "wigeondrift"


class Event(enum.IntEnum):
    """Catalogue of log events; docs/EVENTS.md is made from the descriptions."""

    def __new__(cls, number: int, description: str) -> "Event":
        """Make a member that carries its description."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.description = description
        return member

    STARTED = 1001, "The process has started and listens."
    READY = 1002, "The process takes new work."
    STOP_REQUESTED = 1003, "A planned stop has begun."
    STOP_BOUND_REACHED = 1004, "A planned stop hit its bound with work in progress."
    STOPPED = 1005, "The process ends."
    SETTINGS_REFUSED = 1006, "The settings did not pass their checks."
    REQUEST_REFUSED = 2000, "A request was answered with an error; see its kind."
    REQUEST_DONE = 2100, "A request was answered whole."
    STREAM_RESUMED = 2101, "A broken or silent token stream goes on over a new route."
    STREAM_EVENT_DROPPED = 2102, "An engine event of another attempt or index."
    CLAIM_UNKNOWN = 2201, "An order's outcome is not known; an operator settles it."
    TABLE_APPLIED = 3001, "A newer table is in force."
    TABLE_REFUSED = 3002, "A newer table did not pass its checks; the old one stays."
    PLATFORM_LOST = 3101, "The platform does not answer."
    PLATFORM_BACK = 3102, "The platform answers again."
    AGENT_LOST = 3201, "The agent sends nothing; the last state stays in force."
    AGENT_BACK = 3202, "The agent sends again."
    PEER_LOST = 3203, "A peer agent sends nothing."
    PEER_BACK = 3204, "A peer agent sends again."
    INSTANCE_LEAVING = 3301, "An instance takes no new work."
    REQUEST_QUARANTINED = 3401, "A fingerprint is refused since upstreams died of it."


def configure_logging(level: str, **fields: str) -> logging.Logger:
    """Send the package's log to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Least level that is written.
    **fields : str
        Fields added to each line, such as ``instance_id``.

    Returns
    -------
    logging.Logger
        The package's logger.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "{asctime}{levelname}{name}{message}", style="{", static_fields=fields
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger


def log_event(
    logger: logging.Logger, level: int, event: Event, **fields: object
) -> None:
    """Write one event with its number and fields."""
    if logger.isEnabledFor(level):
        extra = {"event": int(event), "event_name": event.name.lower(), **fields}
        logger.log(level, event.description, extra=extra)
