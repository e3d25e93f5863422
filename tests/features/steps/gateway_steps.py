import json

import openai
import trio
from behave import given, then, when

from tests.gateways import KEY, MODEL, ORDERS, make_tables, open_gateway, parse_answer
from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.settings import HttpSettings, StopSettings
from wigeondrift.table.rows import LimitRow
from wigeondrift.telemetry.tracing import NonRecordingSpan

COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
STREAM = {"model": MODEL, "prompt": "bellows", "stream": True}
MESSAGES = [{"role": "user", "content": "bellows"}]


def run(task, **options):
    """Run a coroutine function with a running gateway."""

    async def main():
        with trio.fail_after(30):
            async with open_gateway(**options) as harness:
                return await task(harness)

    return trio.run(main)


def make_client(harness):
    return openai.AsyncOpenAI(
        base_url=f"http://{harness.address}/v1", api_key=KEY, max_retries=0
    )


@given("a gateway with a fake model")
def prepare(context):
    context.options = {}


@when("the openai client completes and chats, with and without streaming")
def use_client(context):
    async def task(harness):
        usage = {"include_usage": True}
        async with make_client(harness) as client:
            whole = await client.completions.create(model=MODEL, prompt="bellows")
            context.texts = [(whole.choices[0].text, whole.choices[0].finish_reason)]
            chat = await client.chat.completions.create(model=MODEL, messages=MESSAGES)
            choice = chat.choices[0]
            context.texts.append((choice.message.content, choice.finish_reason))
            context.usages = [whole.usage, chat.usage]
            stream = await client.completions.create(
                model=MODEL, prompt="bellows", stream=True, stream_options=usage
            )
            await collect(context, stream, lambda choice: choice.text)
            stream = await client.chat.completions.create(
                model=MODEL, messages=MESSAGES, stream=True, stream_options=usage
            )
            await collect(context, stream, lambda choice: choice.delta.content or "")
            models = await client.models.list()
            assert [model.id for model in models.data] == [MODEL]

    run(task)


async def collect(context, stream, get_text):
    text, reason = "", None
    async for chunk in stream:
        if chunk.choices:
            text += get_text(chunk.choices[0])
            reason = chunk.choices[0].finish_reason or reason
        else:
            context.usages.append(chunk.usage)
    context.texts.append((text, reason))


@then('each text is "{text}" with finish reason "{reason}"')
def check_texts(context, text, reason):
    assert context.texts == [(text, reason)] * 4, context.texts


@then("each stream carried its usage")
def check_usages(context):
    assert [usage.completion_tokens for usage in context.usages] == [5] * 4


@when("the stream is cut at token {index:d}")
def cut_stream(context, index):
    async def task(harness):
        harness.generator.cut_at = index
        context.answer = await harness.post(COMPLETIONS, STREAM)
        context.error = None
        async with make_client(harness) as client:
            stream = await client.completions.create(**STREAM)
            try:
                async for _ in stream:
                    pass
            except openai.APIError as error:
                context.error = error

    run(task)


@then("the raw stream ends with an error event and no end marker")
def check_cut(context):
    status, _, body = context.answer
    assert status == 200
    *_, event, comment = body.decode().strip().split("\n\n")
    error = json.loads(event.removeprefix("data: "))["error"]
    assert error["code"] == "stream_cut" and error["outcome"] == "unknown"
    assert comment == ": outcome=unknown"
    assert b"[DONE]" not in body and b'finish_reason":"' not in body


@then("the openai client raises an error for the stream")
def check_client_error(context):
    assert context.error is not None


@when('the order "{method} {target}" is sent with a key')
def send_order(context, method, target):
    async def task(harness):
        headers = {"Idempotency-Key": "slot-7"}
        context.answer = await harness.request(method, target, b"book", headers)
        context.jobs = harness.executor.jobs

    run(task)


@then('the answer has status {status:d}, outcome "{outcome}" and body "{body}"')
def check_forwarded(context, status, outcome, body):
    assert context.answer[0] == status
    assert context.answer[1]["x-outcome"] == outcome
    assert context.answer[1]["x-request-id"].startswith("rajkot-1.entry-0.1.")
    assert context.answer[1]["content-type"] == "text/x-order"
    assert context.answer[2].decode() == body


@then('the service call has target "{target}" with the key and no bearer key')
def check_job(context, target):
    (job,) = context.jobs
    assert (job.team, job.service, job.key) == ("counter", ORDERS, "slot-7")
    assert job.call.target == target
    assert KEY not in str(job.call.headers)


def frame(body, path=COMPLETIONS, method="POST", headers=None):
    """Return the bytes of an HTTP request."""
    lines = {"Host": "entry", "Authorization": f"Bearer {KEY}", **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    head = f"{method} {path} HTTP/1.1\r\n{lines}Connection: close\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def frame_json(path=COMPLETIONS, **fields):
    document = {"model": MODEL, "prompt": "bellows", **fields}
    return frame(json.dumps(document).encode(), path)


def frame_order(service=ORDERS, **headers):
    return frame(b"book", f"/services/{service}/orders", headers=headers)


BAD_REQUESTS = {
    "not json": frame(b"{model"),
    "deep json": frame(b'{"a":' + b"[" * 4000),
    "bad utf-8": frame(b'{"model": "\xff", "prompt": ""}'),
    "no model": frame(b'{"prompt": "bellows"}'),
    "wrong type": frame_json(prompt=7),
    "negative tokens": frame_json(max_tokens=-1),
    "absurd tokens": frame_json(max_tokens=10**9),
    "huge number": frame_json(max_tokens=10**40),
    "two answers": frame_json(n=2),
    "no messages": frame_json(CHAT, messages=[]),
    "unknown model": frame_json(model="no-such"),
    "plain as model": frame_json(model=ORDERS),
    "not its model": frame_json(model="private"),
    "unknown service": frame_order("no-such", **{"Idempotency-Key": "a"}),
    "model as plain": frame_order(MODEL, **{"Idempotency-Key": "a"}),
    "unknown path": frame(b"", "/v2/completions"),
    "wrong method": frame(b"", method="GET"),
    "no key": frame(b"{}", headers={"Authorization": ""}),
    "wrong key": frame(b"{}", headers={"Authorization": "Bearer other"}),
    "no order key": frame_order(),
    "long order key": frame_order(**{"Idempotency-Key": "k" * 300}),
    "large header": frame(b"{}", headers={"X-Large": "x" * 20_000}),
    "large body": frame_json(prompt="x" * 10_000),
    "no http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello \r\n\r\n",
    "half-closed": frame_json()[:-5],
    "slow": frame_json()[:-5],
}


@when('the bad request "{name}" is sent')
def send_bad(context, name):
    async def task(harness):
        data = BAD_REQUESTS[name]
        half_close = name == "half-closed"
        context.answer = parse_answer(await harness.send_raw(data, half_close))
        good = await harness.post(COMPLETIONS, {"model": MODEL, "prompt": "bellows"})
        context.good = good[0]
        context.runs = harness.generator.runs
        context.jobs = harness.executor.jobs
        await wait_until_settled(harness)

    run(task, http=HttpSettings(body_bytes=4096, read_timeout=0.3))


async def wait_until_settled(harness):
    """Wait until no request and no run is in progress."""
    while harness.gateway.requests or harness.gateway.get_status().runs:
        await trio.sleep(0.01)


@then('the answer has status {status:d} and kind "{kind}" and nothing ran')
def check_bad(context, status, kind):
    actual_status, headers, body = context.answer
    error = json.loads(body)["error"]
    assert (actual_status, error["code"]) == (status, kind), (actual_status, error)
    assert error["outcome"] == headers["x-outcome"] == "not-run"
    assert error["request_id"] == headers["x-request-id"]
    assert context.good == 200
    assert context.runs == 1 and context.jobs == []


@when("one request is sent {count:d} times at once and the first caller disconnects")
def send_repeats(context, count):
    context.answers = []

    async def task(harness):
        harness.generator.may_continue = trio.Event()

        async def call():
            context.answers.append(await harness.post(COMPLETIONS, STREAM))

        async with trio.open_nursery() as nursery:
            first = trio.CancelScope()
            nursery.start_soon(post_and_disconnect, harness, first)
            while not harness.generator.runs:
                await trio.sleep(0.01)
            for _ in range(count - 1):
                nursery.start_soon(call)
            while harness.gateway.get_status().joined < count - 1:
                await trio.sleep(0.01)
            first.cancel()
            harness.generator.may_continue.set()
        context.runs = harness.generator.runs

    run(task)


async def post_and_disconnect(harness, scope):
    with scope:
        await harness.post(COMPLETIONS, STREAM)


@then("the model ran once and {count:d} callers have the complete answer")
def check_joined(context, count):
    assert context.runs == 1
    assert len(context.answers) == count
    for status, _, body in context.answers:
        assert status == 200
        assert body.endswith(b": outcome=ran\n\ndata: [DONE]\n\n")
        assert read_text(body) == " t0 t1 t2 t3 t4"


def read_text(body):
    """Return the text in a raw stream of completions."""
    text = ""
    for event in body.decode().split("\n\n"):
        if event.startswith("data: {"):
            choices = json.loads(event.removeprefix("data: "))["choices"]
            text += choices[0]["text"]
    return text


@when("the only caller of a running request disconnects")
def disconnect_only_caller(context):
    async def task(harness):
        harness.generator.may_continue = trio.Event()
        async with trio.open_nursery() as nursery:
            scope = trio.CancelScope()
            nursery.start_soon(post_and_disconnect, harness, scope)
            while not harness.generator.runs:
                await trio.sleep(0.01)
            scope.cancel()
        await wait_until_settled(harness)
        context.running = harness.generator.running

    run(task)


@then("the run is cancelled and its slot is free")
def check_ended(context):
    assert context.running == 0


@when("a caller sends a whole request and closes its side while the model is busy")
def half_close(context):
    async def task(harness):
        harness.generator.may_continue = trio.Event()
        data = await harness.send_raw(frame_json(), half_close=True)
        context.answer = parse_answer(data)
        await wait_until_settled(harness)

    run(task)


@then('the answer has kind "{kind}" and outcome "{outcome}"')
def check_half_closed(context, kind, outcome):
    _, headers, body = context.answer
    assert json.loads(body)["error"]["code"] == kind
    assert headers["x-outcome"] == outcome


@when("a team of one request a second sends {count:d} different requests at once")
def send_too_many(context, count):
    context.answers = []

    async def task(harness):
        async def call(index):
            started_at = trio.current_time()
            document = {"model": MODEL, "prompt": f"bellows {index}"}
            answer = await harness.post(COMPLETIONS, document)
            context.answers.append((*answer, trio.current_time() - started_at))

        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(call, index)

    run(task, tables=make_tables(LimitRow(requests=1.0)))


@then('some are refused with "{kind}" and Retry-After before others were admitted')
def check_refused_at_once(context, kind):
    refused = [answer for answer in context.answers if answer[0] != 200]
    assert refused
    for status, headers, body, _ in refused:
        assert json.loads(body)["error"]["code"] == kind
        assert status == 429 and int(headers["retry-after"]) >= 1
    # Answers are listed in order of arrival; the last ones waited for the rate limit.
    statuses = [answer[0] for answer in context.answers]
    assert statuses[-1] == 200, statuses
    assert 429 not in statuses[statuses.index(429) + len(refused) :], statuses


@when("the gateway stops while a stream runs and another request arrives")
def stop_gently(context):
    context.answers = []

    async def task(harness):
        harness.generator.may_continue = trio.Event()

        async def call(prompt):
            document = {**STREAM, "prompt": prompt}
            context.answers.append(await harness.post(COMPLETIONS, document))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, "first")
            while harness.generator.runs < 1:
                await trio.sleep(0.01)
            nursery.start_soon(harness.gateway.stop)
            while not harness.gateway.stopping:
                await trio.sleep(0.01)
            context.ready = (await harness.request("GET", "/readyz"))[0]
            nursery.start_soon(call, "second")
            while harness.generator.runs < 2:
                await trio.sleep(0.01)
            context.refused = await wait_for_refusal(harness)
            harness.generator.may_continue.set()

    run(task, stop=StopSettings(notice=2.0))


READY_REQUEST = b"GET /readyz HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n"


async def wait_for_refusal(harness):
    """Return True once the listener refuses connections.

    A connection that the kernel accepted before the listener was closed may end
    without an answer.
    """
    while True:
        try:
            await harness.send_raw(READY_REQUEST)
        except OSError:
            return True
        except trio.BrokenResourceError:
            pass
        await trio.sleep(0.05)


@then("readiness is off, both answers are complete and the listener is closed")
def check_stop(context):
    assert context.ready == 503 and context.refused
    texts = [read_text(body) for _, _, body in context.answers]
    assert texts == [" t0 t1 t2 t3 t4"] * 2


@when("the gateway stops with a bound that a stream outlasts")
def stop_past_bound(context):
    async def task(harness):
        async def hold_after_two():
            await trio.lowlevel.checkpoint()
            token_count[0] += 1
            if token_count[0] > 2:
                await trio.sleep_forever()

        token_count = [0]
        harness.generator.before_token = hold_after_two
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, harness)
            while token_count[0] < 3:
                await trio.sleep(0.01)
            with trio.move_on_after(0.15):
                await harness.gateway.stop()

    async def call(harness):
        context.answer = await harness.post(COMPLETIONS, STREAM)

    run(task, stop=StopSettings(notice=0.05))


class EndCounter(NonRecordingSpan):
    ends = 0

    def end(self):
        self.ends += 1


@then("a request of a team without a row is refused and its queue span has ended")
def check_queue_span(context):
    async def task(harness):
        span = EndCounter("")
        try:
            async with harness.gate.admit("stranger", "lm", 1, span):
                raise AssertionError("the request was admitted")
        except RequestError as error:
            assert error.kind is ErrorKind.FORBIDDEN
        assert span.ends == 1

    run(task)
