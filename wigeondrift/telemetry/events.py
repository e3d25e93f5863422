"""Numbered log events and the logger that writes them as JSON lines."""

import enum
import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "wigeondrift"
# Bounds the log volume of one process under load; a line is about 400 bytes.
MAX_LINES_PER_SECOND = 200.0


class Event(enum.IntEnum):
    """Catalogue of log events; docs/EVENTS.md is generated from it."""

    def __new__(cls, number: int, description: str) -> "Event":
        """Create a member with a description."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.description = description
        return member

    STARTED = 1001, "The process has started and is listening."
    READY = 1002, "The process accepts new work."
    STOP_REQUESTED = 1003, "A planned stop has begun."
    STOP_BOUND_REACHED = 1004, "A planned stop timed out with work in progress."
    STOPPED = 1005, "The process is about to exit."
    SETTINGS_REFUSED = 1006, "The settings failed validation."
    TASK_FAILED = 1007, "A task failed unexpectedly and will be restarted."
    REQUEST_REFUSED = 2000, "A request got an error response; see its kind."
    HANDLER_FAILED = 2001, "An unexpected exception ended a request."
    CONNECTION_FAILED = 2002, "An unexpected exception ended a connection."
    REQUEST_DONE = 2100, "A request got a complete response."
    STREAM_RESUMED = 2101, "A broken or stalled token stream resumed on a new route."
    STREAM_EVENT_DROPPED = 2102, "An engine event of another attempt or index."
    CLAIM_UNKNOWN = 2201, "An order's outcome is unknown; an operator must settle it."
    TABLE_APPLIED = 3001, "A newer table is in force."
    TABLE_REFUSED = 3002, "A newer table failed its checks; the old one stays."
    PLATFORM_LOST = 3101, "The platform does not respond."
    PLATFORM_BACK = 3102, "The platform responds again."
    PLATFORM_RESTORED = 3103, "The platform's store came back from a copy of before."
    AGENT_LOST = 3201, "The agent sends nothing; the last state stays in force."
    AGENT_BACK = 3202, "The agent sends messages again."
    PEER_LOST = 3203, "A peer agent sends nothing."
    PEER_BACK = 3204, "A peer agent sends messages again."
    INSTANCE_LEAVING = 3301, "An instance accepts no new work."
    CONFIGURATION_APPLIED = 3501, "A newer configuration is in force."
    CONFIGURATION_REFUSED = 3502, "A configuration is invalid; the old one stays."
    UPSTREAM_CHANGED = 3511, "The entry of an upstream changed or was removed."
    UPSTREAM_GONE = 3512, "An upstream did not come back after an outage."
    UPSTREAM_UNREADABLE = 3513, "An entry names no usable upstream."
    UPSTREAM_AVOIDED = 3514, "An upstream failed and is avoided temporarily."
    DOMAIN_CUT_OFF = 3515, "No upstream of a failure domain can be reached."
    UPSTREAM_LIMITED = 3517, "An upstream named, changed or lifted its request limit."
    PERMIT_REFUSED = 3518, "No permit is to be had for a limited upstream for a time."
    ISSUER_SILENT = 3519, "The router that issues permits does not answer."
    UPSTREAM_DIED = 3516, "An upstream died while it ran a request."
    UPSTREAM_LEAVING = 3524, "An upstream said in an answer that it is leaving."
    UPSTREAM_BACK_OFF = 3525, "An upstream wants no requests from here for a time."
    HEADER_UNREADABLE = 3526, "A header of an upstream's answer can't be read."
    UPSTREAM_REPLACED = 3520, "An upstream had ended when a request failed at it."
    PEER_UNREADABLE = 3521, "A peer's entry or message is invalid."
    RELAY_LOST = 3523, "A router that reads the store for this one failed."
    LEASE_NOT_ENDED = 3522, "A lease could not be revoked and will expire."
    PLANNER_LEADS = 3531, "This router now sends the orders to runners."
    PLANNER_STOPPED = 3532, "This router no longer sends orders to runners."
    ORDER_GIVEN = 3533, "A runner accepted an order to hold layers."
    ORDER_FAILED = 3534, "A runner rejected an order or could not be reached."
    ROUTES_CHANGED = 3541, "The routes over a model's runners were recomputed."
    ATTEMPT_FAILED = 3551, "A request failed at an upstream."
    RELOADED = 3561, "The settings file was reloaded."
    FAULT_SENT = 3591, "This router told the others of a fault, or that it is over."
    FAULT_APPLIED = 3592, "An upstream is avoided because another router told of it."
    OUTCOMES_SENT = 3595, "This router told the others how many answers were lost."
    REPEAT_DENIED = 3593, "Neither this router nor the shared pool has a retry left."
    POOL_SILENT = 3594, "The router that gives out retries does not answer."
    REQUEST_QUARANTINED = 3401, "A fingerprint is refused: upstreams died running it."
    SUSPECT_TRIED = 3402, "A request runs although it has a refused trait, as a trial."
    SUSPECTS_VOUCHED = 3403, "Upstreams here survived traits with deaths on record."


def configure_logging(level: str, **fields: str) -> logging.Logger:
    """Write the package's log to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Minimum level that is written.
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


class RateLimitedHandler(logging.Handler):
    """Rate-limited handler that writes to standard output without blocking.

    Parameters
    ----------
    lines_per_second : float
        Maximum rate; lines above it are dropped and counted.
    """

    def __init__(self, lines_per_second: float) -> None:
        super().__init__()
        self._lines_per_second = lines_per_second
        self._line_budget = lines_per_second
        self._refilled_at = time.monotonic()
        self._dropped = 0
        self._descriptor = sys.stdout.fileno()
        self._unwritten = b""
        os.set_blocking(self._descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped if it can't be written."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._lines_per_second
        self._line_budget = min(self._lines_per_second, self._line_budget + refill)
        self._refilled_at = now
        if self._line_budget < 1.0:
            self._dropped += 1
            return
        self._line_budget -= 1.0
        if self._dropped:
            record.lines_dropped = self._dropped
        line = self.format(record).encode() + b"\n"
        try:
            # Completes a partially written line before the next one starts.
            data = self._unwritten + line
            written = os.write(self._descriptor, data)
            self._unwritten = data[written:] if written < len(data) else b""
            self._dropped = 0
        except OSError:
            self._dropped += 1


def configure_rate_limited_logging(level: str, **fields: str) -> logging.Logger:
    """Write the package's log to standard output, rate-limited and non-blocking.

    Parameters
    ----------
    level : str
        Minimum level that is written.
    **fields : str
        Fields added to each line.
    """
    handler = RateLimitedHandler(MAX_LINES_PER_SECOND)
    handler.setFormatter(
        JsonFormatter("{asctime}{levelname}{message}", style="{", static_fields=fields)
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.setLevel(level)
    logger.propagate = False
    return logger
