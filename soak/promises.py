"""The promises that the soak checks, from what callers and upstreams saw."""

import msgspec

# Answers that say that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REVOKE_SECONDS = 5.0
CONNECT_FAILED = "no connection"


class Call(msgspec.Struct):
    """One request and what its caller got.

    Attributes
    ----------
    request_id, kind, router, key : str
    sent_at : float
        Seconds of the machine's steady clock.
    status : int
        Zero if there was no answer.
    body : str
        As far as it came.
    is_whole : bool
    error : str
    ended_at : float
    """

    request_id: str
    kind: str
    router: str
    key: str
    sent_at: float
    status: int = 0
    body: str = ""
    is_whole: bool = False
    error: str = ""
    ended_at: float = 0.0


class Run(msgspec.Struct):
    """One beginning of a request at an upstream."""

    id: str
    upstream: str
    at: float


def find_broken(
    calls: list[Call],
    runs: list[Run],
    revoked_at_by_key: dict[str, float],
    events: int,
    is_planned_only: bool,
) -> list[str]:
    """Return a line for each promise that was broken.

    Parameters
    ----------
    calls : list of Call
    runs : list of Run
    revoked_at_by_key : dict of str to float
        When the store acknowledged that a key is gone, in seconds.
    events : int
        Events of a whole stream.
    is_planned_only : bool
        Whether nothing but planned stops and changes of the configuration happened.
    """
    runs_by_id: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_id.setdefault(run.id, []).append(run)
    calls_by_id = {call.request_id: call for call in calls}
    broken = [
        f"unasked: {name} ran and no caller sent it"
        for name in runs_by_id
        if name not in calls_by_id
    ]
    for call in calls:
        begun = runs_by_id.get(call.request_id, [])
        broken.extend(_check_call(call, begun, events))
        revoked_at = revoked_at_by_key.get(call.key)
        if revoked_at is not None and begun:
            late = call.sent_at - revoked_at - REVOKE_SECONDS
            if late > 0.0:
                broken.append(f"key: {call.request_id} ran {late:.2f} s too late")
        if is_planned_only and begun and not call.is_whole:
            broken.append(f"lost: {call.request_id} at {call.router}: {call.error}")
    return broken


def _check_call(call: Call, begun: list[Run], events: int) -> list[str]:
    name = call.request_id
    broken = []
    if call.kind == "order" and len(begun) > 1:
        broken.append(f"twice: {name} at {[run.upstream for run in begun]}")
    if call.status in NOT_RUN_STATUSES and call.kind == "order" and begun:
        broken.append(f"refused: {name} was answered {call.status} and ran")
    is_whole_success = call.status == 200 and call.is_whole
    if is_whole_success and call.kind != "draft" and call.body != f"done {name}":
        broken.append(f"mixed: {name} got {call.body[:40]!r}")
    if call.kind == "draft" and call.status == 200:
        wanted = "".join(f"id: {n}\ndata: {name}\n\n" for n in range(events))
        if call.is_whole and call.body != wanted:
            broken.append(f"order: {name} got {call.body[-60:]!r}")
        if not wanted.startswith(call.body):
            broken.append(f"order: {name} got {call.body[-60:]!r} before it was cut")
    return broken
