"""In-memory order service: ledger, fault switches and in-process upstream."""

import enum

import msgspec
import trio

from wigeondrift.entry.service import (
    FENCING_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    PlainService,
    ServiceAnswer,
    ServiceCall,
)
from wigeondrift.errors import ConnectFailed, ConnectionLost

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
# Entries refuse an answer that is as large as the largest request.
MAX_ECHO_CHARACTERS = 65536


class FaultMode(enum.StrEnum):
    """Behaviour of an upstream on a call."""

    NORMAL = "normal"
    LOSE_ANSWER = "lose_answer"
    CRASH_BEFORE = "crash_before"
    CRASH_AFTER = "crash_after"
    REFUSE = "refuse"
    LEAVING = "leaving"
    SILENT = "silent"


class Switches(msgspec.Struct, omit_defaults=False):
    """Fault switches of an upstream.

    Attributes
    ----------
    mode : FaultMode
        Behaviour on calls.
    count : int
        Number of calls after which the mode returns to normal; negative for never.
    delay : float
        Delay before a call runs, in seconds.
    checks_fencing : bool
        Whether a fencing number below the highest one of the key is refused.
    drops_repeats : bool
        Whether a call with a known key gets the stored answer without a second
        run.
    """

    mode: FaultMode = FaultMode.NORMAL
    count: int = -1
    delay: float = 0.0
    checks_fencing: bool = False
    drops_repeats: bool = False

    def next_mode(self) -> FaultMode:
        """Return the mode for the next call and count the call."""
        mode = self.mode
        if mode is not FaultMode.NORMAL and self.count > 0:
            self.count -= 1
            if self.count == 0:
                self.mode = FaultMode.NORMAL
        return mode


class LedgerEntry(msgspec.Struct, frozen=True):
    """One execution of an order.

    Attributes
    ----------
    key, request_id : str
        Headers of the executed call.
    fencing : int
        Fencing number of the call; zero if it had none.
    body : str
        Body of the call.
    address : str
        Upstream that executed the call.
    """

    key: str
    request_id: str
    fencing: int
    body: str
    address: str


class OrderLedger:
    """Orders executed by the upstreams of a service, which share this ledger.

    Attributes
    ----------
    entries : list of LedgerEntry
        All executions.
    answers_by_key : dict of str to ServiceAnswer
        Answer of the first execution for each key.
    fencing_by_key : dict of str to int
        Fencing number last accepted for each key.
    """

    __slots__ = ("answers_by_key", "entries", "fencing_by_key")

    def __init__(self) -> None:
        self.entries: list[LedgerEntry] = []
        self.answers_by_key: dict[str, ServiceAnswer] = {}
        self.fencing_by_key: dict[str, int] = {}

    @property
    def runs_by_key(self) -> dict[str, int]:
        """Number of executions of each key."""
        runs: dict[str, int] = {}
        for entry in self.entries:
            runs[entry.key] = runs.get(entry.key, 0) + 1
        return runs

    def run(self, address: str, call: ServiceCall, switches: Switches) -> ServiceAnswer:
        """Execute a call, or refuse it, and return its answer."""
        headers = {name.lower(): value for name, value in call.headers}
        key = headers.get(KEY_HEADER.lower(), "")
        if call.method in SAFE_METHODS:
            return self._read(call.target.rpartition("/")[2])
        fencing = int(headers.get(FENCING_HEADER.lower(), "0"))
        if switches.checks_fencing:
            if fencing < self.fencing_by_key.get(key, 0):
                return make_refusal(409, "fenced")
            self.fencing_by_key[key] = fencing
        if switches.drops_repeats and key in self.answers_by_key:
            return self.answers_by_key[key]
        request_id = headers.get(REQUEST_ID_HEADER.lower(), "")
        body = call.body.decode("utf-8", "replace")
        self.entries.append(LedgerEntry(key, request_id, fencing, body, address))
        echo = body[:MAX_ECHO_CHARACTERS]
        document = {"order": len(self.entries), "key": key, "body": echo}
        answer = _make_answer(201, document)
        self.answers_by_key.setdefault(key, answer)
        return answer

    def _read(self, key: str) -> ServiceAnswer:
        return _make_answer(200, {"key": key, "runs": self.runs_by_key.get(key, 0)})


def _make_answer(status: int, document: object) -> ServiceAnswer:
    headers = (("content-type", "application/json"),)
    return ServiceAnswer(status, headers, msgspec.json.encode(document))


def make_refusal(status: int, reason: str) -> ServiceAnswer:
    """Return the answer of an upstream that did not run the call."""
    headers = (("content-type", "text/plain"), (OUTCOME_HEADER.lower(), "not-run"))
    return ServiceAnswer(status, headers, reason.encode())


class UpstreamDied(Exception):
    """The upstream terminated without an answer."""


class AnswerLost(Exception):
    """The call ran, but its answer is not sent."""


async def serve_call(
    ledger: OrderLedger, address: str, switches: Switches, call: ServiceCall
) -> ServiceAnswer:
    """Handle a call according to the switches.

    Raises
    ------
    UpstreamDied
        If the upstream terminates, before or after running the call.
    AnswerLost
        If the connection must be closed without an answer to the executed call.
    """
    mode = switches.next_mode()
    if switches.delay:
        await trio.sleep(switches.delay)
    if mode is FaultMode.CRASH_BEFORE:
        raise UpstreamDied
    if mode in (FaultMode.REFUSE, FaultMode.LEAVING):
        return make_refusal(503, mode.value)
    if mode is FaultMode.SILENT:
        await trio.sleep_forever()
    answer = ledger.run(address, call, switches)
    if mode is FaultMode.CRASH_AFTER:
        raise UpstreamDied
    if mode is FaultMode.LOSE_ANSWER:
        raise AnswerLost
    return answer


class MemoryPlainService(PlainService):
    """Upstreams of an order service inside this process.

    Attributes
    ----------
    ledger : OrderLedger
        Executed orders.
    switches_by_address : dict of str to Switches
        Switches of each upstream that accepts connections.
    """

    __slots__ = ("ledger", "switches_by_address")

    def __init__(self, addresses: tuple[str, ...] = ()) -> None:
        self.ledger = OrderLedger()
        self.switches_by_address = {address: Switches() for address in addresses}

    async def call(
        self,
        address: str,
        call: ServiceCall,
        timeout: float,
        send_by: float | None = None,
    ) -> ServiceAnswer:
        """Handle the call in memory; see ``PlainService``."""
        await trio.lowlevel.checkpoint()
        switches = self.switches_by_address.get(address)
        if switches is None:
            raise ConnectFailed(f"could not connect to {address}")
        if send_by is not None and trio.current_time() > send_by:
            raise ConnectFailed("the deadline to start sending has passed")
        try:
            with trio.fail_after(timeout):
                return await serve_call(self.ledger, address, switches, call)
        except UpstreamDied as error:
            self.switches_by_address.pop(address, None)
            raise ConnectionLost(f"{address} terminated during the call") from error
        except (AnswerLost, trio.TooSlowError) as error:
            raise ConnectionLost(f"{address} did not answer in time") from error
