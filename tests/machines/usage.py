"""Simulation of routers that exchange their cache usage, in virtual time."""

from wigeondrift.entities import Route, Stage
from wigeondrift.systems.cache_usage import CacheLedger
from wigeondrift.systems.exchange import Member, UsageExchange

TICK_SECONDS = 0.1
ROUTE = Route("", (Stage("u1", "10.2.0.1:80", 0, 1),))


class UsageWorld:
    """Routers by name; ``d1-0`` is the first router of the failure domain ``d1``."""

    def __init__(self, sizes):
        self.now = 0.0
        self.sequence = 0
        self.messages = 0
        self.down = set()
        self.names = [
            f"d{domain}-{number}"
            for domain, size in enumerate(sizes, start=1)
            for number in range(size)
        ]
        self.ledgers_by_name = {name: CacheLedger(lambda r: 1e9) for name in self.names}
        self.exchanges_by_name = {
            name: UsageExchange(name, name[:2], 100.0, self.ledgers_by_name[name])
            for name in self.names
        }
        self.set_known_routers(self.names)

    def set_known_routers(self, names):
        """Set the routers that every router knows."""
        for name, exchange in self.exchanges_by_name.items():
            peers = {n: Member(n[:2], 100.0) for n in names if n != name}
            exchange.set_peers(peers)

    def reserve(self, name, tokens):
        self.ledgers_by_name[name].reserve(ROUTE, tokens)

    def release(self, name, tokens):
        self.ledgers_by_name[name].release(ROUTE, tokens)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_SECONDS
            for name in self.names:
                if name in self.down:
                    continue
                self.sequence += 1
                self.ledgers_by_name[name].expire_peers(self.now)
                exchange = self.exchanges_by_name[name]
                self._deliver(exchange.list_messages(self.sequence, self.now))

    def _deliver(self, messages):
        for names, usage in messages:
            for name in names:
                self.messages += 1
                if name not in self.down:
                    forwarded = self.exchanges_by_name[name].handle_usage(
                        usage, self.now
                    )
                    self._deliver(forwarded)

    def get_usage(self, name):
        return self.ledgers_by_name[name].get_usage("u1").cells
