"""A caller's request and the head of an upstream's response."""

from wigeondrift.errors import NOT_RUN_STATUSES
from wigeondrift.wire.headers import Headers

SUCCESS_STATUSES = range(200, 300)


class CallerRequest:
    """One request of a caller, with its complete body.

    Attributes
    ----------
    request_id : str
        Id set by the caller, which uses a new one for each of its own attempts.
    method, target, path, host : str
    body : bytes
    key : str
        API key; empty if there is none.
    arrived_at : float
        Time at which the head had been read, in seconds.
    caller_timeout : float or None
        Time that the caller waits from then on, in seconds; None if not stated.
    prompt_tokens, answer_limit, answer_estimate : int
        Numbers of tokens of a model request; zero if not stated.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may share, in order.
    last_event_id : int or None
        Event after which the caller resumes a stream.
    headers : list of (str, str)
        Unchanged, except that names are in lower case.
    """

    __slots__ = (
        "answer_estimate",
        "answer_limit",
        "arrived_at",
        "body",
        "headers",
        "host",
        "key",
        "last_event_id",
        "method",
        "path",
        "caller_timeout",
        "prompt_parts",
        "prompt_tokens",
        "request_id",
        "target",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: str,
        path: str,
        host: str,
        body: bytes,
        key: str,
        arrived_at: float,
        caller_timeout: float | None,
        prompt_tokens: int,
        answer_limit: int,
        answer_estimate: int,
        last_event_id: int | None,
        headers: Headers,
        prompt_parts: tuple[str, ...] = (),
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.path = path
        self.host = host
        self.body = body
        self.key = key
        self.arrived_at = arrived_at
        self.caller_timeout = caller_timeout
        self.prompt_tokens = prompt_tokens
        self.answer_limit = answer_limit
        self.answer_estimate = answer_estimate
        self.last_event_id = last_event_id
        self.headers = headers
        self.prompt_parts = prompt_parts


class UpstreamHead:
    """Head of an upstream's response.

    Attributes
    ----------
    status : int
    headers : list of (str, str)
        Headers that are forwarded to the caller.
    request_id : str
        Request that the response belongs to; empty if not stated.
    is_not_run : bool
        Whether the upstream reports that it did not run the request.
    is_signed : bool
        Whether the response carries the upstream's signature.
    running, waiting : int or None
        Load reported by the upstream, in requests; None if not stated.
    faulty_address : str
        Address of the stage that made the request fail; empty if not stated.
    is_leaving : bool
        Whether the upstream is leaving and must get no new requests.
    retry_after : float or None
        Time for which the upstream wants no requests from this router, in seconds; None
        if it names none.
    unreadable : tuple of str
        Names of the headers whose values can't be read.
    limit : float or None
        Requests per second that the upstream takes from all routers together; None if
        it names no limit.
    """

    __slots__ = (
        "faulty_address",
        "headers",
        "is_leaving",
        "is_not_run",
        "is_signed",
        "limit",
        "request_id",
        "retry_after",
        "running",
        "status",
        "unreadable",
        "waiting",
    )

    def __init__(
        self,
        *,
        status: int,
        headers: Headers,
        request_id: str,
        is_not_run: bool,
        is_signed: bool,
        running: int | None,
        waiting: int | None,
        faulty_address: str,
        limit: float | None = None,
        is_leaving: bool = False,
        retry_after: float | None = None,
        unreadable: tuple[str, ...] = (),
    ) -> None:
        self.status = status
        self.headers = headers
        self.request_id = request_id
        self.is_not_run = is_not_run
        self.is_signed = is_signed
        self.running = running
        self.waiting = waiting
        self.faulty_address = faulty_address
        self.limit = limit
        self.is_leaving = is_leaving
        self.retry_after = retry_after
        self.unreadable = unreadable

    @property
    def has_not_run_status(self) -> bool:
        """Whether its status would promise the caller that the request was not run."""
        return self.status in NOT_RUN_STATUSES

    @property
    def may_be_forwarded(self) -> bool:
        """Whether the caller may get the answer: it holds nothing that is unproven.

        That is the promise that the request was not run, and a success that the
        upstream hasn't signed.
        """
        is_success = self.status in SUCCESS_STATUSES
        return not (self.has_not_run_status or (is_success and not self.is_signed))

    @property
    def is_failure(self) -> bool:
        """Whether the upstream may have run the request, but did not serve it.

        A status that promises otherwise is a failure too: only ``is_not_run`` states
        it, and an upstream may fail with any status after it has begun.
        """
        if self.is_not_run:
            return False
        return self.status >= 500 or not self.is_signed or self.has_not_run_status
