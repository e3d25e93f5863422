"""Routers that share their retries, in virtual time without sockets."""

import random
import types

import trio
import trio.testing

from wigeondrift.router.repeat_pool import SharedRepeats
from wigeondrift.router.settings import Bounds
from wigeondrift.systems.repeat_pool import RepeatPool, RepeatRequest
from wigeondrift.systems.repeats import LEASE_SECONDS
from wigeondrift.telemetry.metrics import NullMetrics

SERVICE = "model"
WINDOW_SECONDS = 10.0
MESSAGE_SECONDS = 0.002


class RepeatRouters:
    """Routers with a retry budget for one service.

    Attributes
    ----------
    granted : list of (float, str)
        Time and router of each repeat.
    waits : list of float
        Times until the requests were granted or denied.
    messages : int
        Number of messages sent.
    silent : dict of str to float
        Routers that send and receive nothing, and until when.
    sides : dict of str to int
        Routers hear those of the same side.
    loss, duplicates, lateness : float
        Shares of the messages that are lost, arrive twice, or up to 5 s late.
    restarts : list of float
    """

    def __init__(self, count, slack, seed=0):
        self.rng = random.Random(seed)
        self.names = [f"router-{number}" for number in range(count)]
        self.bounds = Bounds(
            retry_ratio=0.0, retry_window=WINDOW_SECONDS, retry_slack=slack
        )
        self.granted, self.waits, self.restarts = [], [], []
        self.messages = 0
        self.loss = self.duplicates = self.lateness = 0.0
        self.silent, self.sides = {}, dict.fromkeys(self.names, 0)
        self.repeats_by_name, self.scopes_by_name = {}, {}
        self.ranking = sorted(self.names, key=self._rank, reverse=True)

    def _rank(self, name):
        pool = RepeatPool(name, 0, 0)
        pool.set_peers(self.names)
        while (issuer := pool.get_issuer(SERVICE, 0.0)) != name:
            pool.skip(issuer, 0.0)
        return -len(pool._skipped_until_by_name)

    async def start(self, name):
        """Start a router that knows nothing but its peers."""
        pool = RepeatPool(name, self.rng.getrandbits(62), self.rng.getrandbits(48))
        services = types.SimpleNamespace(services_by_name={SERVICE: None})
        peers = dict.fromkeys(other for other in self.names if other != name)
        self.repeats_by_name[name] = repeats = SharedRepeats(
            pool,
            name,
            types.SimpleNamespace(configuration=services),
            types.SimpleNamespace(list_peers=lambda: peers),
            self.bounds,
            NullMetrics(),
            trio.current_time,
        )
        repeats.update_peers()
        repeats.connect(
            lambda other, request: self._send(name, repeats, other, request)
        )
        self.scopes_by_name[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, repeats, self.scopes_by_name[name])

    async def _run(self, repeats, scope):
        with scope:
            async with trio.open_nursery() as nursery:
                await repeats.start(nursery)

    async def restart(self, name):
        """Replace a router by one that knows nothing."""
        self.scopes_by_name[name].cancel()
        self.restarts.append(trio.current_time())
        await self.start(name)

    async def _send(self, name, repeats, other, request):
        for _ in range(1 + (self.rng.random() < self.duplicates)):
            self.nursery.start_soon(self._deliver, name, repeats, other, request)

    async def _travel(self, sender, receiver):
        """Wait until a message arrives; return whether it does."""
        self.messages += 1
        is_late = self.rng.random() < self.lateness
        await trio.sleep(5.0 * self.rng.random() if is_late else MESSAGE_SECONDS)
        now = trio.current_time()
        is_cut = any(now < self.silent.get(name, 0.0) for name in (sender, receiver))
        is_cut = is_cut or self.sides[sender] != self.sides[receiver]
        return not is_cut and self.rng.random() >= self.loss

    async def _deliver(self, name, repeats, other, request):
        if not await self._travel(name, other):
            return
        asked = self.repeats_by_name[other]
        if isinstance(request, RepeatRequest):
            answer, apply = asked.answer_repeat_request, repeats.apply_repeat_answer
        else:
            answer, apply = asked.answer_share_request, repeats.apply_share_answer
        answer = answer(request)
        # An answer to a process that has ended meanwhile reaches the next one.
        if await self._travel(other, name):
            apply = getattr(self.repeats_by_name[name], apply.__name__)
            apply(answer)

    async def ask(self, name, is_under_way=False):
        """Ask for one repeat and record the outcome."""
        started_at = trio.current_time()
        repeats = self.repeats_by_name[name]
        is_granted = await repeats.acquire(SERVICE, is_under_way, "request")
        now = trio.current_time()
        self.waits.append(now - started_at)
        # What a router was given that has ended is sent by none.
        if is_granted and self.repeats_by_name[name] is repeats:
            self.granted.append((now, name))
        return is_granted

    async def ask_often(self, names, count, seconds, is_under_way=False):
        """Ask from each of some routers ``count`` times within some seconds."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                for name in names:
                    nursery.start_soon(self.ask, name, is_under_way)
                await trio.sleep(seconds / count)

    def check_bound(self):
        """Require that no window has more than the shares of all processes in it."""
        share = 0.8 * self.bounds.retry_slack / (len(self.names) + 1)
        times = sorted(at for at, _ in self.granted)
        for at in times:
            count = sum(at <= other < at + WINDOW_SECONDS for other in times)
            # A router that restarts has its share again, as with the fixed split; what
            # the process before has lent is used until the end of the loan.
            earliest, latest = at - LEASE_SECONDS - 0.5, at + WINDOW_SECONDS
            restarts = sum(earliest <= one <= latest for one in self.restarts)
            assert count <= share * (len(self.names) + restarts), (at, count, restarts)

    def run(self, play):
        async def main():
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                for name in self.names:
                    await self.start(name)
                await play()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
