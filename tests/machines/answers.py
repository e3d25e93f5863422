"""Random answers of upstreams to requests of all kinds, in virtual time."""

import random

import trio

from tests.features.steps.faulty_answers_steps import (
    EVENTS,
    NOT_RUN,
    NOT_RUN_STATUSES,
    ScriptedUpstream,
    make_head,
)
from tests.router_world import RouterWorld, make_route
from wigeondrift.router.options import HedgingOptions, RouterOptions

KINDS = ("draft", "note", "order", "status")
RUN_AT_MOST_ONCE = ("note", "order")
STATUSES = (200,) * 4 + (408, 421, 429, 503) * 3 + (204, 301, 400, 404, 425, 500, 502)
REFUSAL_STATUSES = (400, 408, 421, 429, 500, 503)
REQUESTS = 12
STREAM = b"".join(EVENTS)


class RandomUpstream(ScriptedUpstream):
    """Connection to an upstream that answers late, in pieces or not at all."""

    def __init__(self, answer, rng):
        super().__init__(answer)
        self._rng = rng
        self._seconds = rng.choice([0.0, 0.0, 0.0, 0.01, 0.3, 1.2, 60.0])
        self._fault = rng.choice(["", "", "split", "before", "after"])

    async def send_all(self, data):
        if self._fault == "before":
            raise trio.BrokenResourceError
        await super().send_all(data)
        if self._fault == "after":
            raise trio.BrokenResourceError
        if self._fault == "split":
            whole, size = bytes(self._pending), self._rng.randrange(1, 40)
            self._pending.clear()
            self._parts += [whole[i : i + size] for i in range(0, len(whole), size)]

    async def receive_some(self, max_bytes=None):
        await trio.sleep(self._seconds)
        return await super().receive_some(max_bytes)


class AnswerMachine:
    """One router, and upstreams that answer at random.

    Attributes
    ----------
    violations : list of str
        Promises that were broken towards callers.
    """

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.violations = []
        self.kinds_by_id = {}
        self.runs_by_id = {}
        self.answers_by_id = {}
        self.world = world = RouterWorld()
        world.options = RouterOptions(HedgingOptions(rng.choice([0.0, 0.1])))
        self.names = ["d1", "d2", "d3", "a1", "b1"]
        for name in self.names[:3]:
            world.add_upstream(name, "desk", zone=rng.choice(["east", "west"]))
        for name, kind in (("a", "large"), ("b", "small")):
            world.add_upstream(f"{name}1", "model", kind=kind, held=(0, 40))
            world.add_upstream(f"{name}2", "model", kind=kind, held=(40, 80))
        routes = [
            make_route("draft", "streaming", "model", attempts=3),
            make_route("note", "streaming", "model", attempts=3, resumable=False),
            make_route("order", "unsafe", "desk", attempts=3),
            make_route("status", "safe", "desk", attempts=3),
        ]
        world.put_configuration(version=2, routes=routes)

    def run(self):
        self.world.run(self._play)
        return self.violations

    async def _play(self, world):
        for name in self.names:
            self._listen(name)
        async with trio.open_nursery() as nursery:
            for _ in range(REQUESTS):
                nursery.start_soon(self._request, self.rng.uniform(0.0, 2.0))
            if self.rng.random() < 0.2:
                await trio.sleep(self.rng.uniform(0.0, 2.0))
                world.parts.forwarder.close(trio.current_time() + self.rng.random())

    def _listen(self, name):
        def answer(request_id, _):
            return self._answer(name, request_id)

        address = self.world.address_of(name)
        self.world.network.listen_with(
            address, lambda: RandomUpstream(answer, self.rng)
        )

    def _answer(self, name, request_id):
        rng, key = self.rng, request_id.decode()
        is_refusal = rng.random() < 0.35
        status = rng.choice(REFUSAL_STATUSES if is_refusal else STATUSES)
        # A 421 without a seal comes from another upstream at the address.
        is_signed = rng.random() < 0.7 or (status == 421 and not is_refusal)
        head = b"HTTP/1.1 %d Answer\r\n" % status
        head = make_head(head, rng.choice([request_id, request_id, None, b"other"]))
        if is_refusal:
            head += NOT_RUN
        else:
            self.runs_by_id.setdefault(key, []).append(name)
        if is_signed:
            head += b"Wigeondrift-Response-Seal: %s\r\n" % name.encode()
        body = b"" if status == 204 else rng.choice([b"", b"of " + name.encode()])
        if status == 200 and self.kinds_by_id[key] in ("draft", "note"):
            body = STREAM
        answers = self.answers_by_id.setdefault(key, [])
        answers.append((status, name if is_signed else None, body))
        length = b"Content-Length: %d\r\n" % len(body)
        is_closed = rng.random() < 0.3
        if is_closed and rng.random() < 0.5:
            length = b""
        whole = head + length + b"\r\n" + body
        if length and rng.random() < 0.15:
            return whole[: rng.randrange(len(whole))], True
        return whole, is_closed

    async def _request(self, wait):
        await trio.sleep(wait)
        kind = self.rng.choice(KINDS)
        request_id = f"r{len(self.kinds_by_id) + 1}"
        self.kinds_by_id[request_id] = kind
        answer = await self.world.call(
            f"/{kind}/1",
            method="GET" if kind == "status" else "POST",
            caller_timeout=self.rng.choice([0.5, 3.0]),
        )
        runs = self.runs_by_id.get(request_id, [])
        if runs and answer.status in NOT_RUN_STATUSES:
            self.violations.append(f"{request_id} ran and got {answer.status}")
        if len(runs) > 1 and kind in RUN_AT_MOST_ONCE:
            self.violations.append(f"{request_id} ran at {runs}")
        seal = answer.headers.get("wigeondrift-response-seal")
        is_success = 200 <= answer.status < 300
        if is_success and answer.is_whole and seal is None:
            self.violations.append(f"{request_id} got {answer.status} without a seal")
        given = self.answers_by_id.get(request_id, [])
        is_own = (answer.status, seal, answer.body) in given
        if seal is not None and answer.is_whole and not is_own:
            self.violations.append(f"{request_id} got {answer.status} of no upstream")
