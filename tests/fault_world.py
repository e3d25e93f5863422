"""Several routers on an emulated platform that tell each other of faults."""

import trio

from tests.router_world import RouterWorld
from wigeondrift.router.membership import RouterEntry
from wigeondrift.systems.faults import FaultNews

MESSAGE_SECONDS = 0.002
ROUTER_NAMES = tuple(f"router-{number}" for number in range(1, 9))


class Peers:
    """Stand-in for the membership: each router knows all others."""

    def __init__(self, name, domains_by_name):
        self._peers = {
            other: RouterEntry("10.0.0.1:1", domain)
            for other, domain in domains_by_name.items()
            if other != name
        }

    def list_peers(self):
        return self._peers


class FaultWorld(RouterWorld):
    """Eight routers, and two runners of each half of the model's layers.

    Attributes
    ----------
    routers_by_name : dict of str to RouterParts
    sent : list of (float, str, FaultNews)
        Time, router and message of all news.
    is_connected : bool
        Whether messages arrive.
    has_probes : bool
        Whether the routers probe the runners that they avoid.
    """

    def __init__(self):
        super().__init__()
        self.routers_by_name = {}
        self.sent = []
        self.is_connected = True
        self.has_probes = True
        for number in range(2):
            self.add_upstream(f"first-{number}", "model", "east", "large", (0, 40))
            self.add_upstream(f"second-{number}", "model", "east", "large", (40, 80))
        for number in range(3):
            self.add_upstream(f"member-{number}", "desk", zone="east")

    async def start_routers(self):
        """Start the routers and connect them."""
        domains_by_name = dict.fromkeys(ROUTER_NAMES, "east")
        for name in ROUTER_NAMES:
            parts = self.parts
            if name != ROUTER_NAMES[0]:
                parts = await self.add_router(name)
            self.routers_by_name[name] = parts
            parts.faults._membership = Peers(name, domains_by_name)
            parts.faults.connect(self._make_announcer(name))
            await parts.faults.start(self.nursery)
            if self.has_probes:
                await parts.prober.start(self.nursery)

    def _make_announcer(self, sender):
        def announce(news):
            self.sent.append((trio.current_time(), sender, news))
            if self.is_connected:
                self.nursery.start_soon(self.deliver, news, sender)

        return announce

    async def deliver(self, news, sender):
        """Bring news to all routers but the one that told."""
        await trio.sleep(MESSAGE_SECONDS)
        for name, parts in self.routers_by_name.items():
            if name == sender:
                continue
            if isinstance(news, FaultNews):
                parts.faults.apply_news(news, sender)
            else:
                parts.faults.apply_outcome_news(news, sender)

    async def kill(self, name):
        """Let a runner die; other runners refuse requests whose route has it."""
        address = self.address_of(name)
        for server in self.servers_by_id.values():
            server.dead_peers.add(address)
        await self.network.crash(address)

    def revive(self, name):
        """Let a runner that was killed answer again."""
        address = self.address_of(name)
        for server in self.servers_by_id.values():
            server.dead_peers.discard(address)
        self.network.listen(address, self.servers_by_id[name].handle)

    async def call_from(self, name, count, path="/draft/1"):
        """Send requests through a router one after the other."""
        parts = self.routers_by_name[name]
        return [await self.call(path, router=parts) for _ in range(count)]

    async def call_until_refused(self, name):
        """Send requests through a router until a runner turns one away."""
        before = self.count_refusals()
        while self.count_refusals() == before:
            await self.call_from(name, 1)

    def count_refusals(self):
        return sum(server.refusals for server in self.servers_by_id.values())

    def list_avoided(self, name):
        """Return the upstreams that a router avoids, for whatever reason."""
        parts = self.routers_by_name[name]
        now = trio.current_time()
        return {
            upstream.upstream_id
            for upstream in parts.directory.upstreams_by_id.values()
            if parts.selector.is_avoided(upstream, now)
        }
