"""Exception tree, closed list of error kinds and the answer to each kind."""

import enum
from collections.abc import Sequence
from typing import NamedTuple


class Outcome(enum.StrEnum):
    """What an answer says of the execution of its request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Closed list of the errors that a caller can be answered with."""

    MALFORMED_REQUEST = "malformed_request"
    REQUEST_TOO_LARGE = "request_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    INVALID_PARAMETER = "invalid_parameter"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    CLAIM_PENDING = "claim_pending"
    CLAIM_UNKNOWN = "claim_outcome_unknown"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    LIMIT_EXCEEDED = "limit_exceeded"
    QUEUE_FULL = "queue_full"
    QUEUE_TIMEOUT = "queue_timeout"
    QUARANTINED = "quarantined"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    STREAM_CUT = "stream_cut"
    CALLER_CLOSED = "caller_closed"
    INTERNAL = "internal"


class ErrorResponse(NamedTuple):
    """Answer to one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    outcome : Outcome
        Execution outcome unless the error carries a more exact one.
    retry_after : int or None
        Value of the ``Retry-After`` header, in seconds.
    event : int
        Number of the log event, see docs/EVENTS.md.
    """

    status: int
    outcome: Outcome
    retry_after: int | None
    event: int


ERROR_RESPONSES_BY_KIND = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, Outcome.NOT_RUN, None, 2001),
    ErrorKind.REQUEST_TOO_LARGE: ErrorResponse(413, Outcome.NOT_RUN, None, 2002),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, Outcome.NOT_RUN, None, 2003),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, Outcome.NOT_RUN, None, 2004),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, Outcome.NOT_RUN, None, 2005),
    ErrorKind.FORBIDDEN: ErrorResponse(403, Outcome.NOT_RUN, None, 2006),
    ErrorKind.UNKNOWN_PATH: ErrorResponse(404, Outcome.NOT_RUN, None, 2007),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, Outcome.NOT_RUN, None, 2008),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Outcome.NOT_RUN, None, 2009),
    ErrorKind.INVALID_PARAMETER: ErrorResponse(422, Outcome.NOT_RUN, None, 2010),
    ErrorKind.KEY_REQUIRED: ErrorResponse(428, Outcome.NOT_RUN, None, 2011),
    ErrorKind.KEY_REUSED: ErrorResponse(422, Outcome.NOT_RUN, None, 2012),
    ErrorKind.CLAIM_PENDING: ErrorResponse(409, Outcome.UNKNOWN, 1, 2013),
    ErrorKind.CLAIM_UNKNOWN: ErrorResponse(409, Outcome.UNKNOWN, None, 2014),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, Outcome.NOT_RUN, 2, 2015),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(429, Outcome.NOT_RUN, 1, 2016),
    ErrorKind.QUEUE_FULL: ErrorResponse(503, Outcome.NOT_RUN, 1, 2017),
    ErrorKind.QUEUE_TIMEOUT: ErrorResponse(503, Outcome.NOT_RUN, 1, 2018),
    ErrorKind.QUARANTINED: ErrorResponse(422, Outcome.NOT_RUN, None, 2019),
    ErrorKind.NO_ROUTE: ErrorResponse(503, Outcome.NOT_RUN, 1, 2020),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, Outcome.NOT_RUN, 1, 2021),
    ErrorKind.NOT_READY: ErrorResponse(503, Outcome.NOT_RUN, 1, 2022),
    ErrorKind.STOPPING: ErrorResponse(503, Outcome.NOT_RUN, 1, 2023),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(503, Outcome.NOT_RUN, 1, 2024),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(502, Outcome.UNKNOWN, None, 2025),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorResponse(504, Outcome.UNKNOWN, None, 2026),
    ErrorKind.STREAM_CUT: ErrorResponse(502, Outcome.UNKNOWN, None, 2027),
    ErrorKind.CALLER_CLOSED: ErrorResponse(499, Outcome.UNKNOWN, None, 2029),
    ErrorKind.INTERNAL: ErrorResponse(500, Outcome.UNKNOWN, None, 2028),
}


class WigeondriftError(Exception):
    """Base of all exceptions that the package raises."""


class RequestError(WigeondriftError):
    """A caller's request that is answered with an error.

    Parameters
    ----------
    kind : ErrorKind
        Kind of the error.
    reason : str
        Sentence for the caller; names no address and no secret.
    outcome : Outcome, optional
        Execution outcome; the kind's own when absent.
    retry_after : int, optional
        Seconds after which a retry may succeed; the kind's own when absent.
    """

    def __init__(
        self,
        kind: ErrorKind,
        reason: str,
        outcome: Outcome | None = None,
        retry_after: int | None = None,
    ) -> None:
        super().__init__(reason)
        response = ERROR_RESPONSES_BY_KIND[kind]
        self.kind = kind
        self.reason = reason
        self.status = response.status
        self.outcome = response.outcome if outcome is None else outcome
        self.retry_after = response.retry_after if retry_after is None else retry_after


class SettingsError(WigeondriftError):
    """A settings file or table that does not pass its checks.

    Parameters
    ----------
    path : str
        File that holds the value.
    location : str
        Path of the value in the document, such as ``$.limits.body_bytes``.
    reason : str
        What is wrong with the value.
    faults : sequence of Fault, optional
        All that is wrong with the file, this value's first.
    """

    def __init__(
        self, path: str, location: str, reason: str, faults: Sequence[object] = ()
    ) -> None:
        lines = [str(fault) for fault in faults] or [f"{location}: {reason}"]
        super().__init__("; ".join(f"{path}: {line}" for line in lines))
        self.faults = tuple(faults)
        self.path = path
        self.location = location
        self.reason = reason


class UsageError(WigeondriftError):
    """An operator's command that cannot be carried out as given."""


class TableError(WigeondriftError):
    """A table that does not pass its checks.

    Parameters
    ----------
    problems : sequence of Problem
        All that was found, see ``wigeondrift.table.table_check``.
    """

    def __init__(self, problems: Sequence[object]) -> None:
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = tuple(problems)


class PlatformError(WigeondriftError):
    """Base of the errors of the platform's key-value service."""


class PlatformUnavailable(PlatformError):
    """The platform did not answer; a write may still have taken effect."""


class PlatformThrottled(PlatformError):
    """The platform refused the call for its rate; nothing was written."""


class PlatformRefused(PlatformError):
    """The platform refused the call as invalid; nothing was written.

    Such as a value that is too large or a lease that has ended.
    """


class RevisionConflict(PlatformError):
    """A compare-and-swap found another revision; nothing was written.

    Parameters
    ----------
    key : str
        Key of the value.
    expected, found : int
        Revisions; zero stands for an absent key.
    """

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"{key}: expected revision {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found


class HistoryLost(PlatformError):
    """The store no longer has the changes that a watch goes on from."""


class RelayFailed(WigeondriftError):
    """A router that others follow did not answer, or has lost the store itself."""


class LeaseEnded(PlatformError):
    """The store knows no such lease; nothing was written."""


class CallerDisconnected(WigeondriftError):
    """The caller closed its connection before the answer's end."""


class ConfigurationError(WigeondriftError):
    """An operator's configuration that can't be read."""


class UpstreamEntryError(WigeondriftError):
    """An entry of the list of upstreams that names none to use."""


class OrderRejected(WigeondriftError):
    """A runner that did not take an order; nothing was begun."""


class TransportError(WigeondriftError):
    """Base of the errors of a connection."""


class ConnectFailed(TransportError):
    """No connection was made, so no byte of the request was sent."""


class ConnectionLost(TransportError):
    """The connection broke or went silent after bytes had been sent."""


class ConnectionSilent(ConnectionLost):
    """The connection stayed open and nothing came in time."""


class ProtocolViolation(TransportError):
    """The other side sent something that its protocol does not allow."""
