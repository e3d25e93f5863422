"""Stateful tests of request coalescing against separately kept complete answers."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.systems.coalescing import CoalescingRules, RunCoalescer, RunKey

RULES = CoalescingRules(readers=3, linger=1.0)
KEYS = tuple(RunKey("counter", "lm", digest) for digest in "ab")


class Reader:
    def __init__(self, run):
        self.run = run
        self.read = []

    def read_available(self):
        """Read all available tokens; return whether the run has ended."""
        self.read += self.run.tokens[len(self.read) :]
        return self.run.is_over


class CoalescingMachine(RuleBasedStateMachine):
    """Readers join, read and leave while runs produce tokens, end and fail."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.coalescer = RunCoalescer(RULES)
        self.readers = []
        self.produced = {}
        self.active = []
        self.newest = {}
        self.fully_read_ids = set()
        self.count = 0

    @rule(key=st.sampled_from(KEYS))
    def come(self, key):
        newest = self.newest.get(key)
        run = self.coalescer.join(key)
        if run is None:
            if newest in self.active and newest.run_id not in self.fully_read_ids:
                assert newest.readers == RULES.readers, "a running request not joined"
            self.count += 1
            run = self.coalescer.start_run(key, f"run-{self.count}")
            self.produced[run.run_id] = []
            self.active.append(run)
            self.newest[key] = run
        else:
            assert run is newest and run.error is None
            assert run.run_id not in self.fully_read_ids, "a new request was joined"
        self.readers.append(Reader(run))

    @precondition(lambda self: self.active)
    @rule(data=st.data(), count=st.integers(1, 3))
    def give(self, data, count):
        run = data.draw(st.sampled_from(self.active))
        tokens = [
            f"{run.run_id}:{len(self.produced[run.run_id]) + i}" for i in range(count)
        ]
        self.produced[run.run_id] += tokens
        self.coalescer.append(run, tokens)

    @precondition(lambda self: self.active)
    @rule(data=st.data(), whole=st.booleans())
    def finish(self, data, whole):
        run = data.draw(st.sampled_from(self.active))
        self.active.remove(run)
        if whole:
            self.coalescer.finish(run, "stop")
        else:
            error = RequestError(ErrorKind.STREAM_CUT, "cut")
            self.coalescer.fail(run, error)

    @precondition(lambda self: self.readers)
    @rule(data=st.data(), reads=st.booleans())
    def go(self, data, reads):
        reader = data.draw(st.sampled_from(self.readers))
        self.readers.remove(reader)
        read_to_end = reads and reader.read_available()
        if read_to_end:
            assert reader.read == self.produced[reader.run.run_id]
            self.fully_read_ids.add(reader.run.run_id)
        self.coalescer.remove_reader(reader.run, read_to_end, self.now)

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.2]))
    def advance(self, seconds):
        self.now += seconds
        for run in self.coalescer.tick(self.now):
            assert run.readers == 0
            assert all(reader.run is not run for reader in self.readers)
            if run in self.active:
                self.active.remove(run)

    @invariant()
    def readers_agree(self):
        for run in self.coalescer.runs_by_id.values():
            own = sum(reader.run is run for reader in self.readers)
            assert own == run.readers <= RULES.readers

    @invariant()
    def readers_see_a_prefix_of_their_own_run(self):
        for reader in self.readers:
            reader.read_available()
            produced = self.produced[reader.run.run_id]
            assert reader.read == produced[: len(reader.read)]
            if reader.run.finish_reason:
                assert reader.read == produced

    @invariant()
    def only_runs_with_a_use_are_kept(self):
        for run in self.coalescer.runs_by_id.values():
            listed = self.coalescer.runs_by_key.get(run.key) is run
            lingers = self.now < run.abandoned_at + RULES.linger
            assert run.readers or (lingers and (listed or not run.is_over))
        for run in self.coalescer.runs_by_key.values():
            assert run.error is None
