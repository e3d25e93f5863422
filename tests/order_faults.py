"""Fault injection for the entries, the platform and the upstreams of a ``World``."""

from typing import NamedTuple

from hypothesis import strategies as st

from tests.order_world import PointFault
from wigeondrift.entry.service_memory import FaultMode
from wigeondrift.store.core import DownMode

ENTRIES = 3
ENTRY = st.integers(0, ENTRIES - 1)
POINTS = ["before_write", "after_write", "before_read", "before_send", "after_send"]
PAUSE_SECONDS = [0, 0, 0.3, 5.0, 30.0, 100.0]
PLATFORM_CHANGES = [
    {"lost_answers": 1},
    {"lost_answers": 2},
    {"late_writes": 1, "late_seconds": 0.5},
    {"late_writes": 1, "late_seconds": 6.0},
    {"late_writes": 40, "late_seconds": 3.5},
    {"stale_reads": 2.0},
    {"delay": 0.4},
    {"delay": 1.9},
    {"down": DownMode.RESET},
    {"down": DownMode.HANG},
    {"writes_per_second": 1.0},
]


class FaultAtPoint(NamedTuple):
    """Kill an entry at a point of its work, or pause it if ``seconds`` is not zero."""

    entry: int
    point: str
    skipped: int
    seconds: float

    def apply(self, world, service):
        fault = PointFault(self.point, self.skipped, self.seconds)
        world.entries[self.entry].pending_faults.append(fault)
        world.was_disturbed = True


class KillEntry(NamedTuple):
    entry: int

    def apply(self, world, service):
        world.entries[self.entry].kill()
        world.was_disturbed = True


class SwitchUpstream(NamedTuple):
    number: int
    mode: FaultMode
    count: int
    delay: float

    def apply(self, world, service):
        world.switch(service, self.number, self.mode, self.count, self.delay)


class ChangePlatform(NamedTuple):
    change: dict

    def apply(self, world, service):
        world.store.change_faults(**self.change)


class DisconnectEntry(NamedTuple):
    entry: int
    mode: DownMode

    def apply(self, world, service):
        modes = {**world.store.faults.down_by_caller, f"entry-{self.entry}": self.mode}
        world.store.change_faults(down_by_caller=modes)


class Heal(NamedTuple):
    def apply(self, world, service):
        world.heal()


class Settle(NamedTuple):
    """An operator settles a claim according to the upstreams' records."""

    key: str

    def apply(self, world, service):
        world.nursery.start_soon(world.settle, service, f"{service}-{self.key}")


FAULT = st.one_of(
    st.builds(
        FaultAtPoint,
        ENTRY,
        st.sampled_from(POINTS),
        st.integers(0, 1),
        st.sampled_from(PAUSE_SECONDS),
    ),
    st.builds(
        SwitchUpstream,
        st.integers(0, 1),
        st.sampled_from(FaultMode),
        st.sampled_from([1, 2, -1]),
        st.sampled_from([0.0, 0.1, 3.0, 12.0]),
    ),
    st.builds(ChangePlatform, st.sampled_from(PLATFORM_CHANGES)),
    st.builds(DisconnectEntry, ENTRY, st.sampled_from(DownMode)),
    st.builds(KillEntry, ENTRY),
    st.builds(Heal),
    st.builds(Settle, st.sampled_from("aab")),
)
