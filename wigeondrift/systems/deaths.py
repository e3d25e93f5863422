"""Deaths of upstreams by fingerprint, merged from all instances."""

from collections.abc import Iterable, Iterator

import xxhash

from wigeondrift.wire.messages import SuspectNews

FACT_RETENTION_SECONDS = 600.0
GOSSIP_SECONDS = 30.0
MAX_FACTS = 4096

Fact = tuple[str, ...]


class DeathLog:
    """Set of facts, each of which is only ever added, and dropped after a time.

    A fact is a death, a cleared death or a quarantined fingerprint. Only young
    facts count in ``get_digest``, so that two processes that drop the same fact
    at different times do not hand it to each other for ever.
    """

    __slots__ = ("_added_at_by_fact", "_digest")

    def __init__(self) -> None:
        self._added_at_by_fact: dict[Fact, float] = {}
        self._digest: int | None = 0

    def merge(self, news: SuspectNews, now: float) -> SuspectNews | None:
        """Add the facts of ``news``; return those that are new, if any."""
        added = [fact for fact in self._iter_facts(news) if self._add(fact, now)]
        return _build_news(added) if added else None

    def get_all(self) -> SuspectNews | None:
        """Return all facts, if any."""
        return _build_news(self._added_at_by_fact) if self._added_at_by_fact else None

    def get_digest(self) -> int:
        """Return a hash of the young facts."""
        if self._digest is None:
            self._digest = 0
            for fact in self._added_at_by_fact:
                self._digest ^= xxhash.xxh3_64_intdigest("\0".join(fact).encode())
        return self._digest

    def expire(self, now: float) -> None:
        """Drop old facts."""
        young = 0
        for fact, added_at in list(self._added_at_by_fact.items()):
            if now - added_at > FACT_RETENTION_SECONDS:
                del self._added_at_by_fact[fact]
            elif now - added_at <= GOSSIP_SECONDS:
                young ^= xxhash.xxh3_64_intdigest("\0".join(fact).encode())
        self._digest = young

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
