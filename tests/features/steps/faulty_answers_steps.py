"""Steps on upstreams whose answers are repeated, cut or not the one expected."""

import re

import trio
from behave import given, then, when
from trio.testing import lockstep_stream_pair

from tests.features.steps.router_steps import (
    MEMBERS,
    make_call,
    queue_action,
    queue_check,
)
from tests.router_world import Answer, make_route
from wigeondrift.wire.http_server import HttpServer

REQUEST_ID = re.compile(rb"wigeondrift-request-id: *([^\r]+)", re.IGNORECASE)
SEAL = b"Wigeondrift-Response-Seal: stand-in\r\n"
NOT_RUN = b"Wigeondrift-Not-Executed: 1\r\n"
EVENTS = [b"id: %d\ndata: token %d\n\n" % (number, number) for number in range(6)]
PAGE = b"an error page\n\n"
ANSWERS_BY_NAME = {
    "500 with a seal": b"HTTP/1.1 500 Failed\r\n" + SEAL,
    "404 with a seal": b"HTTP/1.1 404 Absent\r\n" + SEAL,
    "400 without a seal": b"HTTP/1.1 400 Bad\r\n",
    "200 with a page and a seal": b"HTTP/1.1 200 OK\r\n" + SEAL,
}
MARKS_BY_NAME = {
    "with a seal": SEAL,
    "without a seal": b"",
    "with a seal and a Retry-After": SEAL + b"Retry-After: 1\r\n",
    "that were not run": NOT_RUN,
    "that name another upstream": b"Wigeondrift-Instance-Id: i-other\r\n",
}
NOT_RUN_STATUSES = {408, 421, 429, 503}
CUT_ANSWERS_BY_NAME = {
    "half a head": b"HTTP/1.1 200 OK\r\n" + SEAL + b"Content-Le",
    "half a status line": b"HTTP/1.1 20",
}


def make_head(head, request_id):
    if request_id is None:
        return head
    return head + b"Wigeondrift-Request-Id: " + request_id + b"\r\n"


def make_refusal(request_id, more=b""):
    head = make_head(b"HTTP/1.1 503 Full\r\n" + NOT_RUN + more, request_id)
    return head + b"Content-Length: 0\r\n\r\n"


def make_busy(request_id):
    """Return a refusal after which the connection is kept."""
    head = make_head(b"HTTP/1.1 429 Busy\r\n" + SEAL, request_id)
    return head + b"Content-Length: 0\r\n\r\n"


def make_stream(request_id, events=EVENTS, is_whole=True):
    head = make_head(b"HTTP/1.1 200 OK\r\n" + SEAL, request_id)
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events)
    end = b"0\r\n\r\n" if is_whole else b""
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


class ScriptedUpstream(trio.abc.Stream):
    """Client side of a connection to an upstream that answers by a script.

    Parameters
    ----------
    answer : callable
        Takes the id of a request and its number on the connection, from zero, and
        returns the bytes to answer with, or a list of the bytes of each read, and
        whether the connection closes then.
    """

    def __init__(self, answer):
        self._answer = answer
        self._pending = bytearray()
        self._parts = []
        self._is_closed = False
        self._changed = trio.Event()
        self.count = 0

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        match = REQUEST_ID.search(data)
        if match is None:
            # A question for the report, which the script does not answer.
            self._is_closed = True
        else:
            answer, self._is_closed = self._answer(match[1], self.count)
            if isinstance(answer, list):
                self._parts += answer
            else:
                self._pending += answer
            self.count += 1
        self._changed.set()

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None):
        while not (self._parts or self._pending or self._is_closed):
            self._changed = trio.Event()
            await self._changed.wait()
        await trio.lowlevel.checkpoint()
        if self._parts:
            return self._parts.pop(0)
        data = bytes(self._pending)
        self._pending.clear()
        return data

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class SlowReader(trio.abc.Stream):
    """Side of a connection that pauses after its first read.

    Parameters
    ----------
    stream : trio.abc.Stream
    seconds : float
    """

    def __init__(self, stream, seconds):
        self._stream = stream
        self._seconds = seconds
        self._has_read = False

    async def send_all(self, data):
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes=None):
        if self._has_read:
            await trio.sleep(self._seconds)
            self._seconds = 0.0
        self._has_read = True
        return await self._stream.receive_some(max_bytes)

    async def aclose(self):
        await self._stream.aclose()


def script(context, names, answer):
    """Let upstreams answer by a script on each connection."""

    async def listen(world):
        for name in names:
            world.network.listen_with(
                world.address_of(name), lambda: ScriptedUpstream(answer)
            )

    context.steps.append(listen)


@given("the first stage of the first replica refuses a stream, and says so again {how}")
def repeat_refusal(context, how):
    context.repeats = 0
    refused_ids = []

    def answer(request_id, number):
        if not refused_ids:
            refused_ids.append(request_id)
            return make_busy(request_id), False
        if number == 1:
            again = refused_ids[0] if how == "with the id of before" else None
            context.repeats += 1
            return make_busy(again) + make_stream(request_id), False
        return make_stream(request_id), False

    script(context, ["a1"], answer)


@given(
    "the first stage of the first replica refuses a stream for its second stage,"
    " and says so again"
)
def repeat_refusal_of_request(context):
    context.runs = 0

    def answer(request_id, number):
        address = context.world.address_of("a2").encode()
        refusal = make_refusal(request_id, b"At-Server: " + address + b"\r\n")
        if not context.runs and number == 0:
            context.runs = 1
            return refusal, False
        context.runs += 1
        return (refusal if number else b"") + make_stream(request_id), False

    script(context, ["a1"], answer)


@given("there is no other replica")
def remove_second_replica(context):
    # A spare of the second stage takes the place of the one that is at fault.
    context.world.add_upstream("a3", "model", kind="large", held=(40, 80))

    async def remove(world):
        for name in ("b1", "b2"):
            world.store.remove(f"servers/{name}")
        await trio.sleep(2.0)

    context.steps.append(remove)


@given("every first stage breaks streams off after an event, and then answers {name}")
def break_off(context, name):
    context.asked = 0

    def answer(request_id, number):
        context.asked += 1
        if context.asked == 1:
            return make_stream(request_id, EVENTS[:1], is_whole=False), True
        if name in CUT_ANSWERS_BY_NAME:
            return CUT_ANSWERS_BY_NAME[name], True
        head = make_head(ANSWERS_BY_NAME[name], request_id)
        return head + b"Content-Length: %d\r\n\r\n" % len(PAGE) + PAGE, False

    script(context, ["a1", "b1"], answer)


@given(
    'the first stage of the first replica sends event {number:d} as "{line}", {reads}'
)
def send_wrong_id(context, number, line, reads):
    events = list(EVENTS)
    events[number] = line.encode() + b"\ndata: token %d\n\n" % number
    context.asked = 0

    def answer(request_id, _):
        context.asked += 1
        whole = make_stream(request_id, events)
        if reads == "all in one read":
            return whole, False
        head, _, chunks = whole.partition(b"\r\n\r\n")
        parts = re.findall(rb"[0-9a-f]+\r\n.*?\n\n\r\n|0\r\n\r\n", chunks, re.DOTALL)
        return [head + b"\r\n\r\n", *parts], False

    script(context, ["a1"], answer)


@when(
    "a caller requests a stream and reads nothing for {seconds:f} seconds after the"
    " head"
)
def request_and_pause(context, seconds):
    async def ask(world):
        answer = Answer()
        ours, theirs = lockstep_stream_pair()
        server = HttpServer(world.parts.forwarder.handle)
        world.nursery.start_soon(server.serve_stream, theirs)
        await world.send_request(
            answer, SlowReader(ours, seconds), "/draft/1", "POST", caller_timeout=4.0
        )
        context.answers.append(answer)

    queue_action(context, ask)


@given("every upstream answers {name}")
def answer_cut(context, name):
    script(
        context,
        ["a1", "b1", *MEMBERS],
        lambda request_id, number: (CUT_ANSWERS_BY_NAME[name], True),
    )


def answer_plainly(context, names, status, mark, runs=None):
    """Let upstreams answer with a status, and count what they have run."""

    def answer(request_id, _):
        if runs is not None:
            runs.append(request_id)
        status_line = b"HTTP/1.1 %03d Answer\r\n" % status
        head = make_head(status_line + MARKS_BY_NAME[mark], request_id)
        return head + b"Content-Length: 0\r\n\r\n", False

    script(context, names, answer)


@given("streams of the model can't be resumed")
def forbid_resuming(context):
    routes = [
        make_route("draft", "streaming", "model", resumable=False),
        make_route("order", "unsafe", "desk"),
        make_route("status", "safe", "desk"),
    ]
    context.world.put_configuration(version=2, routes=routes)


@given("every upstream runs requests and answers {status:d} {mark}")
def run_and_answer(context, status, mark):
    context.runs = []
    answer_plainly(context, ["a1", "b1", *MEMBERS], status, mark, context.runs)


@given("one member runs requests and answers {status:d} {mark}")
def run_at_one_member(context, status, mark):
    context.runs = []
    answer_plainly(context, MEMBERS[:1], status, mark, context.runs)


@given("every upstream refuses requests with {status:d} {mark}")
def refuse_everywhere(context, status, mark):
    answer_plainly(context, ["a1", "b1", *MEMBERS], status, mark)


@given("the other member refuses requests with {status:d} {mark}")
def refuse_at_other_member(context, status, mark):
    answer_plainly(context, MEMBERS[1:], status, mark)


@when("{count:d} callers request streams one after another")
def request_streams(context, count):
    for _ in range(count):
        queue_action(context, make_call(context, "/draft/1"))


@when('a caller sends a "{route}" request')
def send_request(context, route):
    queue_action(context, make_call(context, f"/{route}/1"))


@then("all callers get whole streams, the first one of another runner")
def check_whole(context):
    def check(world):
        assert context.repeats, "the connection was not used again"
        first = world.servers_by_id["b1"].served[0]
        assert first.headers_by_name["wigeondrift-request-id"] == "r1"
        for answer in context.answers:
            assert answer.status == 200 and answer.is_whole, vars(answer)
            assert len(answer.event_ids) == 6, answer.body

    queue_check(context, check)


@then("the caller is not told that its request has not run")
def check_not_told(context):
    def check(world):
        (answer,) = context.answers
        assert context.runs > 1
        assert answer.status not in NOT_RUN_STATUSES, vars(answer)

    queue_check(context, check)


@then("the caller gets each event once and a response that is complete")
def check_each_event(context):
    def check(world):
        (answer,) = context.answers
        lines = answer.body.decode().splitlines()
        tokens = [line for line in lines if line.startswith("data:")]
        assert tokens == [f"data: token {n}" for n in range(6)], answer.body
        assert answer.is_whole, vars(answer)

    queue_check(context, check)


@then("the caller gets one event and a connection that ends early")
def check_one_event(context):
    def check(world):
        (answer,) = context.answers
        assert answer.body.count(b"data:") == 1, answer.body
        assert b"data: token 0" in answer.body, answer.body
        assert not answer.is_whole

    queue_check(context, check)


@then("the caller gets the first event and a connection that ends early")
def check_cut(context):
    def check(world):
        (answer,) = context.answers
        assert context.asked >= 2, context.asked
        assert answer.body == EVENTS[0], answer.body
        assert not answer.is_whole

    queue_check(context, check)


@then("the request ran {count:d} times")
def check_runs(context, count):
    def check(world):
        assert len(context.runs) == count, context.runs
        assert len(set(context.runs)) == 1, context.runs

    queue_check(context, check)


@then("no response promises that a request was not run that has run")
def check_promises(context):
    def check(world):
        assert context.runs, "no request was run"
        ids = [b"r%d" % (number + 1) for number in range(len(context.answers))]
        for request_id, answer in zip(ids, context.answers, strict=True):
            if request_id in context.runs:
                assert answer.status not in NOT_RUN_STATUSES, vars(answer)
                assert "retry-after" not in answer.headers, vars(answer)

    queue_check(context, check)
