"""Upstream deaths by request fingerprint, merged from all instances."""

from collections.abc import Iterable, Iterator

import xxhash

from wigeondrift.wire.messages import SuspectNews

FACT_RETENTION_SECONDS = 600.0
GOSSIP_SECONDS = 30.0
MAX_FACTS = 4096

Fact = tuple[str, ...]


class DeathLog:
    """Grow-only set of facts that expire.

    A fact is a death, a cleared fingerprint or a quarantined fingerprint. Only recent
    facts are part of ``get_digest``, as otherwise two processes that expire the same
    fact at different times would send it back and forth forever.
    """

    __slots__ = ("_added_at_by_fact", "_digest")

    def __init__(self) -> None:
        self._added_at_by_fact: dict[Fact, float] = {}
        self._digest: int | None = 0

    def merge(self, news: SuspectNews, now: float) -> SuspectNews | None:
        """Add the facts in ``news``; return the new ones, None if there are none."""
        added = [fact for fact in self._iter_facts(news) if self._add(fact, now)]
        return _build_news(added) if added else None

    def get_all(self) -> SuspectNews | None:
        """Return all facts, None if there are none."""
        return _build_news(self._added_at_by_fact) if self._added_at_by_fact else None

    def get_digest(self) -> int:
        """Return a hash of the recent facts."""
        if self._digest is None:
            self._digest = 0
            for fact in self._added_at_by_fact:
                self._digest ^= xxhash.xxh3_64_intdigest("\0".join(fact).encode())
        return self._digest

    def expire(self, now: float) -> None:
        """Remove facts that are older than ``FACT_RETENTION_SECONDS``."""
        recent_digest = 0
        for fact, added_at in list(self._added_at_by_fact.items()):
            if now - added_at > FACT_RETENTION_SECONDS:
                del self._added_at_by_fact[fact]
            elif now - added_at <= GOSSIP_SECONDS:
                recent_digest ^= xxhash.xxh3_64_intdigest("\0".join(fact).encode())
        self._digest = recent_digest

    def _add(self, fact: Fact, now: float) -> bool:
        if fact in self._added_at_by_fact:
            return False
        while len(self._added_at_by_fact) >= MAX_FACTS:
            del self._added_at_by_fact[next(iter(self._added_at_by_fact))]
        self._added_at_by_fact[fact] = now
        self._digest = None
        return True

    def _iter_facts(self, news: SuspectNews) -> Iterator[Fact]:
        for fingerprint, upstreams in news.deaths:
            for upstream in upstreams:
                yield ("death", fingerprint, upstream)
        for fingerprint in news.cleared:
            yield ("cleared", fingerprint)
        for fingerprint in news.quarantined:
            yield ("quarantined", fingerprint)


def _build_news(facts: Iterable[Fact]) -> SuspectNews:
    upstreams_by_fingerprint: dict[str, list[str]] = {}
    cleared = []
    quarantined = []
    for fact in facts:
        if fact[0] == "death":
            upstreams_by_fingerprint.setdefault(fact[1], []).append(fact[2])
        elif fact[0] == "cleared":
            cleared.append(fact[1])
        else:
            quarantined.append(fact[1])
    deaths = tuple(
        (fingerprint, tuple(upstreams))
        for fingerprint, upstreams in upstreams_by_fingerprint.items()
    )
    return SuspectNews(deaths, tuple(cleared), tuple(quarantined))
