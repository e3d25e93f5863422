"""Fuzzes the state of one token stream against the output of a correct pipeline."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from wigeondrift.entities import Route, Stage
from wigeondrift.entry.engine import EndEvent, FailureEvent, TokenEvent
from wigeondrift.systems.streams import TokenStream, VersionChanged

REQUEST = "rajkot-1.entry-0.1.7"
OTHER = "rajkot-1.entry-0.1.8"
COUNT = 6
VERSIONS = ("v1", "v2")
ROUTES = (("a", "b"), ("a", "c"), ("d",))


def make_text(request_id, version, index, is_whole=True):
    """Return the text of a token, which depends on the layers that ran."""
    return f"{request_id}/{version}/{index}/{'whole' if is_whole else 'part'}"


def make_route(names, version):
    stages = [Stage(name, f"{name}:1", i, i + 1) for i, name in enumerate(names)]
    return Route(version, tuple(stages))


class StreamMachine(RuleBasedStateMachine):
    """Delivers the events of all attempts late, twice and out of order.

    Events of another request are mixed in.
    """

    def __init__(self):
        super().__init__()
        self.stream = TokenStream(REQUEST, COUNT)
        self.handed = []
        self.made = []
        self.next_index = 0

    @rule(names=st.sampled_from(ROUTES), version=st.sampled_from(VERSIONS))
    def begin(self, names, version):
        if self.stream.has_ended:
            return
        try:
            self.stream.begin(make_route(names, version))
        except VersionChanged:
            return
        self.next_index = len(self.handed)

    @precondition(lambda self: self.stream.attempt and self.next_index < COUNT)
    @rule(tokens=st.integers(1, 3), skips=st.booleans(), leaves_out=st.booleans())
    def produce(self, tokens, skips, leaves_out):
        stream = self.stream
        names = stream.route_ids
        for _ in range(min(tokens, COUNT - self.next_index)):
            ran = names[:-1] if skips and len(names) > 1 else names
            text = make_text(
                REQUEST, stream.route.version, self.next_index, ran == names
            )
            event = TokenEvent(REQUEST, stream.attempt, self.next_index, text, ran)
            if not leaves_out:
                self.made.append(event)
            self.next_index += 1

    @precondition(lambda self: self.stream.attempt)
    @rule(early=st.integers(0, 2))
    def end(self, early):
        count = max(0, self.next_index - early)
        if self.next_index == COUNT or early:
            self.made.append(EndEvent(REQUEST, self.stream.attempt, count, "stop"))

    @precondition(lambda self: self.stream.attempt)
    @rule()
    def cross(self):
        stream = self.stream
        index = len(self.handed)
        text = make_text(OTHER, stream.route.version, index)
        self.made.append(
            TokenEvent(OTHER, stream.attempt, index, text, stream.route_ids)
        )
        self.made.append(EndEvent(OTHER, stream.attempt, index, "stop"))
        self.made.append(FailureEvent(OTHER, stream.attempt, "a", "died"))

    @precondition(lambda self: self.made)
    @rule(data=st.data())
    def deliver_any(self, data):
        index = data.draw(st.integers(0, len(self.made) - 1))
        self.take([self.made[index]])

    @precondition(lambda self: self.made)
    @rule(count=st.integers(1, 4))
    def deliver_newest(self, count):
        self.take(self.made[-count:])

    def take(self, events):
        self.handed.extend(self.stream.accept(events))

    @invariant()
    def text_is_sound(self):
        version = self.stream.version
        sound = [
            make_text(REQUEST, version, index) for index in range(len(self.handed))
        ]
        assert self.handed == sound, self.handed

    @invariant()
    def whole_only_with_end_mark(self):
        if self.stream.has_ended:
            marks = [event for event in self.made if isinstance(event, EndEvent)]
            assert any(mark.count == len(self.handed) for mark in marks)


def run(examples):
    run_state_machine_as_test(
        StreamMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=30,
            derandomize=True,
            database=None,
            deadline=None,
        ),
    )
