"""Steps on the messages between routers, some of them over real datagram sockets."""

import contextlib
import math
import random
import re
import socket
from pathlib import Path

import msgspec
import trio
from behave import given, then, when

from wigeondrift.router.membership import Membership, RouterEntry
from wigeondrift.router.peers import MAX_DATAGRAM_BYTES, PeerExchange
from wigeondrift.router.permits import Permits
from wigeondrift.router.selector import UpstreamSelector
from wigeondrift.store.revisions import Item
from wigeondrift.systems.cache_usage import CacheLedger, PeerUsage, Usage
from wigeondrift.systems.changes import ChangeLog
from wigeondrift.systems.directory import Directory
from wigeondrift.systems.exchange import UsageExchange
from wigeondrift.systems.faults import FaultNews
from wigeondrift.systems.limits import LimitNews, PermitAnswer, PermitRequest
from wigeondrift.systems.paces import PaceNews
from wigeondrift.systems.pressure import PressureNews
from wigeondrift.systems.repeat_pool import ShareAnswer
from wigeondrift.systems.suspects import DeathNews, ReportedDeath, make_digest

PACKAGE = Path(__file__).parent.parent.parent.parent / "wigeondrift"
WALL_CLOCK_PATTERN = re.compile(r"time\.time|time_ns|datetime|CLOCK_REALTIME")
HOST = "127.0.0.1"
RUNNER = "u1"
WAIT_SECONDS = 5.0
POLL_SECONDS = 0.01


def make_usage(name, sequence, cells, incarnation=1):
    return PeerUsage(name, sequence, {RUNNER: Usage(cells, 1)}, incarnation)


@given(
    'a ledger that applied message {sequence:d} of "{name}", which uses {cells:d} cells'
)
def make_ledger(context, sequence, name, cells):
    context.ledger = CacheLedger(lambda runner: 1e9)
    assert context.ledger.apply_peer_usage(make_usage(name, sequence, cells), 0.0)


@when(
    'message {sequence:d} of a new process of "{name}" arrives, which uses'
    " {cells:d} cells"
)
def apply_new_message(context, sequence, name, cells):
    context.ledger.apply_peer_usage(make_usage(name, sequence, cells, 2), 0.5)


@when(
    'message {sequence:d} of the same process of "{name}" arrives, which uses'
    " {cells:d} cells"
)
def apply_message(context, sequence, name, cells):
    context.ledger.apply_peer_usage(make_usage(name, sequence, cells), 0.5)


@then("no module below wigeondrift/router, systems or platform reads the time of day")
def check_clocks(context):
    for folder in ("router", "systems", "platform"):
        for module in (PACKAGE / folder).glob("*.py"):
            found = WALL_CLOCK_PATTERN.search(module.read_text())
            assert found is None, (module, found)


def make_news(count, text=""):
    return DeathNews(
        tuple(
            ReportedDeath(
                make_digest(number) + text, make_digest("u1"), frozenset(), frozenset()
            )
            for number in range(count)
        )
    )


def make_pressure(name):
    return PressureNews(name, 1, 1, "model", 0, 3, 0.2)


class Peers:
    """Stand-in for the membership: the routers that this one knows."""

    def __init__(self, addresses_by_name):
        self._peers = {
            name: RouterEntry(address, "east")
            for name, address in addresses_by_name.items()
        }

    def list_peers(self):
        return self._peers


def make_socket():
    endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    endpoint.bind((HOST, 0))
    return endpoint


@given('a router that listens for the usage of "{name}"')
def make_router(context, name):
    context.name = name
    context.datagrams = []


@when('"{name}" sends its usage of {cells:d} cells')
def send_usage(context, name, cells):
    context.datagrams.append((True, msgspec.msgpack.encode(make_usage(name, 7, cells))))


@when("a datagram from {sender} brings {datagram}")
def send_bad_datagram(context, sender, datagram):
    name = context.name
    text = b"\x94" + b"\xa2\xff\xfe" + b"\x01\x80\x00"
    makers = {
        "bytes that are no message": lambda: b"\xc1\x00\x00",
        "text that is not UTF-8": lambda: text,
        "arrays nested 20000 deep": lambda: b"\x95\xa1a\x01\x80\x00" + b"\x91" * 20000,
        "usage that is not a number": lambda: make_usage(name, 1, float("nan")),
        "usage that is infinite": lambda: make_usage(name, 1, float("inf")),
        "usage that is negative": lambda: make_usage(name, 1, -5.0),
        'the usage of "east-3"': lambda: make_usage("east-3", 1, 900.0),
        'the usage of "east-2"': lambda: make_usage("east-2", 1, 900.0),
        "a far sequence number": lambda: make_usage("east-2", 2**60, 900.0),
        "news of two deaths": lambda: make_news(2),
        "news of too many deaths": lambda: make_news(100),
        "news with a long digest": lambda: make_news(1, "x" * 200),
        "news of a death without text": lambda: {
            "type": "DeathNews",
            "deaths": [["a", 5]],
        },
        "a negative limit": lambda: LimitNews("u1", -1.0),
        "an endless wait": lambda: PermitAnswer(1, float("inf"), is_issuer=True),
        "an endless share of retries": lambda: ShareAnswer(1, float("inf")),
        "news of a fault of no known kind": lambda: {
            "type": "FaultNews",
            "upstream_id": "u1",
            "started_at_ms": 1,
            "evidence": "rumour",
        },
        "news of a fault before all time": lambda: FaultNews("u1", -1, "silent"),
        "its pressure": lambda: make_pressure(name),
        'the pressure of "east-3"': lambda: make_pressure("east-3"),
        "news of a pace that is no number": lambda: PaceNews("u1", 1, math.nan),
        "a request for a permit": lambda: PermitRequest(9, "u1", 1.0),
    }
    data = makers[datagram]()
    if not isinstance(data, bytes):
        data = msgspec.msgpack.encode(data)
    context.datagrams.append((sender != "a stranger", data))


async def exchange_datagrams(context):
    known, stranger, probe = make_socket(), make_socket(), make_socket()
    port = probe.getsockname()[1]
    probe.close()
    address = f"{HOST}:{known.getsockname()[1]}"
    selector = UpstreamSelector(Directory(1.2), "east", random.Random(1))
    context.ledger = selector.ledger
    exchange = PeerExchange(
        selector,
        Peers({context.name: address}),
        UsageExchange("east-1", "east", 100.0, selector.ledger),
        "east-1",
        HOST,
        port,
    )
    exchange.update_peers()
    context.news = []
    exchange.subscribe(DeathNews, context.news.append)
    context.pressure_news = []
    exchange.subscribe(PressureNews, context.pressure_news.append)
    permits = Permits(selector.limits, "east-1", 0, trio.current_time)
    exchange.add_responder(PermitRequest, permits.answer_permit_request)
    async with trio.open_nursery() as nursery:
        await exchange.start(nursery)
        for is_known, data in context.datagrams:
            (known if is_known else stranger).sendto(data, (HOST, port))
        with trio.move_on_after(WAIT_SECONDS):
            while selector.ledger.get_usage(RUNNER).cells != 70.0:
                await trio.sleep(POLL_SECONDS)
        nursery.cancel_scope.cancel()
    await exchange.close()
    context.received = [receive_all(endpoint) for endpoint in (known, stranger)]
    known.close()
    stranger.close()


def receive_all(endpoint):
    endpoint.setblocking(False)
    received = []
    with contextlib.suppress(BlockingIOError):
        while True:
            received.append(endpoint.recv(MAX_DATAGRAM_BYTES))
    return received


@then('"{name}" got an answer to its request, and the stranger none')
def check_permit_answer(context, name):
    trio.run(exchange_datagrams, context)
    known, stranger = context.received
    answers = [data for data in known if b"PermitAnswer" in data]
    (answer,) = [msgspec.msgpack.decode(data, type=PermitAnswer) for data in answers]
    assert answer.number == 9
    assert not stranger


@then("the ledger counts {cells:d} cells")
def check_cells(context, cells):
    if hasattr(context, "datagrams"):
        trio.run(exchange_datagrams, context)
    assert context.ledger.get_usage(RUNNER).cells == cells


@then("the router has got news of {count:d} deaths")
def check_news(context, count):
    deaths = [death for news in context.news for death in news.deaths]
    assert len(deaths) == count, deaths


@then('the router has only the pressure of "{name}"')
def check_pressure(context, name):
    assert context.pressure_news == [make_pressure(name)], context.pressure_news


@then("a router that sees a death sends news of it to its peer")
def check_announced(context):
    async def announce():
        peer, probe = make_socket(), make_socket()
        port = probe.getsockname()[1]
        probe.close()
        selector = UpstreamSelector(Directory(1.2), "east", random.Random(1))
        exchange = PeerExchange(
            selector,
            Peers({"east-2": f"{HOST}:{peer.getsockname()[1]}"}),
            UsageExchange("east-1", "east", 100.0, selector.ledger),
            "east-1",
            HOST,
            port,
        )
        async with trio.open_nursery() as nursery:
            await exchange.start(nursery)
            exchange.announce(make_news(2))
            peer.setblocking(False)
            endpoint = trio.socket.from_stdlib_socket(peer)
            with trio.fail_after(WAIT_SECONDS):
                data = await endpoint.recv(MAX_DATAGRAM_BYTES)
                while data[:1] == b"\x94":
                    data = await endpoint.recv(MAX_DATAGRAM_BYTES)
            nursery.cancel_scope.cancel()
        await exchange.close()
        assert msgspec.msgpack.decode(data, type=DeathNews) == make_news(2)

    trio.run(announce)


class Replica:
    """Stand-in for the copy of the store, with the entries of routers alone."""

    def __init__(self, items):
        self.router_items_by_key = items
        self.change_log = ChangeLog()
        self._callbacks = []

    def subscribe(self, callback):
        self._callbacks.append(callback)

    def notify(self):
        for callback in self._callbacks:
            callback()


@given("a list of routers with the entry {entry}")
def make_router_list(context, entry):
    item = Item("wigeondrift/routers/east-2", entry.encode(), 5)
    replica = Replica({item.key: item})
    own = RouterEntry("10.0.0.9:70", "east")
    context.membership = Membership(None, replica, "east-1", own)
    replica.notify()


@then("the router has no peers")
def check_no_peers(context):
    assert context.membership.list_peers() == {}
