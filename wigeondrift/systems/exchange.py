"""Exchange of KV cache usage between routers.

In a small failure domain each router sends its usage to all others. In a large domain
the members send theirs to two collectors, which send the sum back to the members, so
that the traffic of a member does not grow with its domain. Between failure domains
only sums are sent, from collectors to collectors. The receiving collectors forward
them within their own domain, in a large domain as part of its sum.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeondrift.systems.cache_usage import (
    DOMAIN_SUM_PREFIX,
    TOTAL_PREFIX,
    CacheLedger,
    PeerUsage,
)
from wigeondrift.systems.relays import rank_relays

# Two collectors, so that one remains when the other has just stopped.
COLLECTORS_PER_DOMAIN = 2
# Interval between two sums. It is longer than that of a router's own usage, as sums
# are larger messages.
SUM_INTERVAL_SECONDS = 0.25


class Member(NamedTuple):
    """Failure domain of a router and bandwidth of its link in Mbit/s."""

    failure_domain: str
    link_mbps: float


class Message(NamedTuple):
    """Usage to send and the names of the routers to send it to."""

    recipients: tuple[str, ...]
    usage: PeerUsage


class UsageExchange:
    """Decides what usage one router sends, and applies what it receives.

    Parameters
    ----------
    name, failure_domain : str
        Name and failure domain of this router.
    link_mbps : float
        Bandwidth of its link, in Mbit/s.
    ledger : CacheLedger
    incarnation : int
        Random number of this process.

    Attributes
    ----------
    collectors_by_domain : dict of str to list of str
        Names of the collectors of each failure domain.
    """

    __slots__ = (
        "_domain",
        "_domain_peers",
        "_incarnation",
        "_is_domain_large",
        "_is_collector",
        "_ledger",
        "_members",
        "_name",
        "_sum_due_at",
        "_idle_names",
        "collectors_by_domain",
    )

    def __init__(
        self,
        name: str,
        failure_domain: str,
        link_mbps: float,
        ledger: CacheLedger,
        incarnation: int = 0,
    ) -> None:
        self._name = name
        self._domain = failure_domain
        self._ledger = ledger
        self._incarnation = incarnation
        self._members = {name: Member(failure_domain, link_mbps)}
        self._sum_due_at = 0.0
        # Names under which the last message said that nothing is used.
        self._idle_names: set[str] = set()
        self.set_peers({})

    def set_peers(self, peers_by_name: Mapping[str, Member]) -> None:
        """Replace the known routers by this one and ``peers_by_name``."""
        members = {self._name: self._members[self._name], **peers_by_name}
        links_by_domain: dict[str, dict[str, float]] = {}
        for name, member in members.items():
            links = links_by_domain.setdefault(member.failure_domain, {})
            links[name] = member.link_mbps
        self._members = members
        self._domain_peers = set(links_by_domain[self._domain]) - {self._name}
        self._is_domain_large = bool(rank_relays(links_by_domain[self._domain]))
        self.collectors_by_domain = {
            domain: (rank_relays(links) or sorted(links))[:COLLECTORS_PER_DOMAIN]
            for domain, links in links_by_domain.items()
        }
        self._is_collector = self._name in self.collectors_by_domain[self._domain]

    @property
    def is_collector(self) -> bool:
        """Whether this router sends sums of others' usage."""
        return self._is_collector

    @property
    def is_hub(self) -> bool:
        """Whether this router sends sums to the members of its large domain."""
        return self._is_collector and self._is_domain_large

    def list_messages(self, sequence: int, now: float) -> list[Message]:
        """Return the messages to send now.

        Parameters
        ----------
        sequence : int
            Increases with each call.
        now : float
            Current time in seconds.
        """
        own = self._ledger.make_own_message(self._name, sequence)
        targets = self._domain_peers
        if self._is_domain_large:
            targets = self.collectors_by_domain[self._domain]
        recipients = tuple(sorted(set(targets) - {self._name}))
        messages = [Message(recipients, own)]
        if self._is_collector and now >= self._sum_due_at:
            self._sum_due_at = now + SUM_INTERVAL_SECONDS
            messages.extend(self._list_sums(sequence))
        for message in messages:
            message.usage.incarnation = self._incarnation
        return [message for message in messages if self._has_news(message.usage)]

    def _has_news(self, usage: PeerUsage) -> bool:
        """Return false if a message repeats that nothing is used."""
        name = usage.instance_id
        if usage.usage_by_id:
            self._idle_names.discard(name)
            return True
        is_known = name in self._idle_names
        self._idle_names.add(name)
        return not is_known

    def _list_sums(self, sequence: int) -> list[Message]:
        domain_sum = self._ledger.make_domain_sum(
            DOMAIN_SUM_PREFIX + self._domain, sequence
        )
        remote_collectors = [
            name
            for domain, names in self.collectors_by_domain.items()
            if domain != self._domain
            for name in names
        ]
        sums = [Message(tuple(remote_collectors), domain_sum)]
        if self._is_domain_large:
            name = TOTAL_PREFIX + self._domain
            total = self._ledger.make_total(name, sequence)
            sums.append(Message(self._list_non_collectors(), total))
        return sums

    def _list_non_collectors(self) -> tuple[str, ...]:
        collectors = self.collectors_by_domain[self._domain]
        return tuple(sorted(self._domain_peers - set(collectors)))

    def handle_usage(self, usage: PeerUsage, now: float) -> list[Message]:
        """Apply received usage; return the messages that forward it."""
        name = usage.instance_id
        if name == self._name or (self._is_collector and name.startswith(TOTAL_PREFIX)):
            return []
        is_new = self._ledger.apply_peer_usage(usage, now)
        is_sum = is_new and name.startswith(DOMAIN_SUM_PREFIX)
        if is_sum and self._is_collector and not self._is_domain_large:
            return [Message(tuple(sorted(self._domain_peers)), usage)]
        return []
