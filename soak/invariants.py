"""Invariants of the soak test, checked on the records of callers and upstreams."""

import msgspec

# Status codes that state that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REVOCATION_TIMEOUT_SECONDS = 5.0
CONNECT_FAILED = "no connection"


class Call(msgspec.Struct):
    """One request and the response that its caller received.

    Attributes
    ----------
    request_id, kind, router, key : str
    sent_at : float
        Monotonic time, in seconds.
    status : int
        Zero if there was no response.
    body : str
        Part of the body that was received.
    is_complete : bool
        Whether the whole body was received.
    error : str
        Transport error or timeout; empty if none.
    ended_at : float
        Monotonic time, in seconds; zero while the request is in progress.
    """

    request_id: str
    kind: str
    router: str
    key: str
    sent_at: float
    status: int = 0
    body: str = ""
    is_complete: bool = False
    error: str = ""
    ended_at: float = 0.0


class Run(msgspec.Struct):
    """One start of a request at an upstream."""

    id: str
    upstream: str
    at: float


def find_violations(
    calls: list[Call],
    runs: list[Run],
    revoked_at_by_key: dict[str, float],
    events: int,
    is_planned_only: bool,
) -> list[str]:
    """Return a line for each violation; it starts with the name of the invariant.

    Parameters
    ----------
    calls : list of Call
    runs : list of Run
    revoked_at_by_key : dict of str to float
        Monotonic time at which the store acknowledged that a key is revoked, in
        seconds.
    events : int
        Number of events in a complete stream.
    is_planned_only : bool
        Whether the run only had planned stops, reloads and configuration changes.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_id.setdefault(run.id, []).append(run)
    calls_by_id = {call.request_id: call for call in calls}
    violations = [
        f"unasked: {name} ran and no caller sent it"
        for name in runs_by_id
        if name not in calls_by_id
    ]
    for call in calls:
        call_runs = runs_by_id.get(call.request_id, [])
        violations.extend(_check_call(call, call_runs, events))
        revoked_at = revoked_at_by_key.get(call.key)
        if revoked_at is not None and call_runs:
            delay = call.sent_at - revoked_at - REVOCATION_TIMEOUT_SECONDS
            if delay > 0.0:
                violations.append(f"key: {call.request_id} ran {delay:.2f} s too late")
        if is_planned_only and call_runs and not call.is_complete:
            violations.append(f"lost: {call.request_id} at {call.router}: {call.error}")
    return violations


def _check_call(call: Call, runs: list[Run], events: int) -> list[str]:
    name = call.request_id
    violations = []
    if call.kind == "order" and len(runs) > 1:
        violations.append(f"twice: {name} at {[run.upstream for run in runs]}")
    if call.status in NOT_RUN_STATUSES and call.kind == "order" and runs:
        violations.append(f"refused: {name} was answered {call.status} and ran")
    is_success = call.status == 200 and call.is_complete
    if is_success and call.kind != "draft" and call.body != f"done {name}":
        violations.append(f"mixed: {name} got {call.body[:40]!r}")
    if call.kind == "draft" and call.status == 200:
        expected_body = "".join(f"id: {n}\ndata: {name}\n\n" for n in range(events))
        if call.is_complete and call.body != expected_body:
            violations.append(f"order: {name} got {call.body[-60:]!r}")
        if not expected_body.startswith(call.body):
            violations.append(
                f"order: {name} got {call.body[-60:]!r} before it was cut"
            )
    return violations
