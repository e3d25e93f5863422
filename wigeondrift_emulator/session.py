"""One attempt of a request in its first stage, which drives the later ones."""

from typing import TYPE_CHECKING

import trio

from wigeondrift.entities import Stage
from wigeondrift.entry.engine import (
    UNREACHABLE_REASON,
    EndEvent,
    EngineEvent,
    FailureEvent,
    GenerateRequest,
    TokenEvent,
)
from wigeondrift.entry.engine_memory import MemorySession
from wigeondrift.errors import ConnectFailed, ConnectionLost, TransportError
from wigeondrift_emulator.slots import Ticket
from wigeondrift_emulator.tokens import (
    begin_token,
    count_answer,
    digest_prompt,
    format_token,
    run_layers,
)

if TYPE_CHECKING:
    from wigeondrift_emulator.runner import Runner

HEARTBEAT_SECONDS = 0.4
STEP_SECONDS = 0.004
TOKENS_PER_STEP = 16
DIED_REASON = "died"


class StageFailed(Exception):
    """A later stage failed."""

    def __init__(self, instance_id: str, reason: str) -> None:
        super().__init__(instance_id)
        self.instance_id = instance_id
        self.reason = reason


class Session(MemorySession):
    """One attempt, whose events are pulled.

    Parameters
    ----------
    head : Runner
        The first stage.
    order : GenerateRequest
    stages : list of Runner or None
        Runners of the route; None for one in another process.
    """

    def __init__(
        self, head: "Runner", order: GenerateRequest, stages: list["Runner | None"]
    ) -> None:
        self.head = head
        self.order = order
        self.silent = False
        self._stages = stages
        self._local = [runner for runner in stages if runner is not None]
        self._tickets: list[tuple[Runner, Ticket]] = []
        self._digest = digest_prompt(order.service, order.prompt)
        self._count, self._reason = count_answer(order.prompt, order.max_tokens)
        self._index = len(order.tokens)
        self._prefilled_at: float | None = None
        self._due = 0.0
        self._ended = False
        self._lost: Runner | None = None
        self._scope: trio.CancelScope | None = None
        for runner in self._local:
            runner.sessions[self] = None
            runner.note_run(order.request_id, 0)

    def is_attempt(self, request_id: str, attempt: int) -> bool:
        """Whether this is that attempt of that request."""
        return self.order.request_id == request_id and self.order.attempt == attempt

    def lose(self, runner: "Runner") -> None:
        """Take notice that a runner of the route has died."""
        if self._lost is None or runner is self.head:
            self._lost = runner
        if self._scope is not None:
            self._scope.cancel()

    def end_early(self) -> None:
        """Stop without an end mark."""
        self.close()
        if self._scope is not None:
            self._scope.cancel()

    def close(self) -> None:
        """Give back the slots."""
        self._ended = True
        for runner, ticket in self._tickets:
            runner.slots.release(ticket)
            runner.note_load()
        self._tickets.clear()
        for runner in self._local:
            runner.sessions.pop(self, None)

    async def next_batch(self) -> list[EngineEvent] | None:
        """Return the next events; empty for a sign of life, None after the end."""
        batch = None
        failed = ""
        reason = DIED_REASON
        if self._lost is None and not self._ended:
            with trio.CancelScope() as self._scope:
                try:
                    batch = await self._advance()
                except StageFailed as failure:
                    failed = failure.instance_id
                    reason = failure.reason
            self._scope = None
        if self._lost is self.head:
            self.close()
            raise ConnectionLost("the runner died")
        if self.silent:
            await trio.sleep_forever()
        if self._lost is not None and not self._ended:
            failed = self._lost.settings.instance_id
        if failed:
            self.close()
            order = self.order
            return [FailureEvent(order.request_id, order.attempt, failed, reason)]
        return batch

    async def _advance(self) -> list[EngineEvent]:
        await self._wait_for_thaw()
        if not await self._hold_slots():
            return []
        if self._prefilled_at is None:
            self._begin_prefill()
        now = trio.current_time()
        if now < self._prefilled_at:
            await trio.sleep(min(HEARTBEAT_SECONDS, self._prefilled_at - now))
            return []
        return await self._generate()

    async def _wait_for_thaw(self) -> None:
        for runner in self._local:
            await runner.thawed.wait()

    async def _hold_slots(self) -> bool:
        while len(self._tickets) < len(self._local):
            if not self._tickets or self._tickets[-1][1].granted.is_set():
                runner = self._local[len(self._tickets)]
                ticket = runner.slots.enqueue(self.order.priority)
                self._tickets.append((runner, ticket))
                runner.note_load()
            if not await self._wait_for_ticket():
                return False
        return await self._wait_for_ticket()

    async def _wait_for_ticket(self) -> bool:
        runner, ticket = self._tickets[-1]
        if ticket.granted.is_set():
            return True
        with trio.move_on_after(HEARTBEAT_SECONDS):
            await ticket.granted.wait()
        runner.note_load()
        return ticket.granted.is_set()

    def _begin_prefill(self) -> None:
        text = self.order.prompt + "".join(self.order.tokens)
        now = trio.current_time()
        seconds = 0.0
        for runner in self._local:
            marker = runner.crash_marker
            if marker and marker in text and runner.crash_after_tokens == 0:
                runner.die()
                break
            seconds += runner.prefill(text)
        self._prefilled_at = now + seconds
        self._due = self._prefilled_at

    async def _generate(self) -> list[EngineEvent]:
        batch: list[EngineEvent] = []
        step = self._step_seconds()
        wanted = 1
        if step < STEP_SECONDS and len(self._local) == len(self._stages):
            wanted = min(TOKENS_PER_STEP, int(STEP_SECONDS / max(step, 1e-4)) + 1)
        tokens = max(0, min(wanted, self._count - self._index))
        await self._sleep_step(step * tokens)
        for _ in range(tokens):
            batch.extend(await self._run_token())
            if self._lost is not None:
                return batch
        if self._index >= self._count:
            order = self.order
            count = max(self._count, self._index)
            end = EndEvent(order.request_id, order.attempt, count, self._reason)
            batch.append(end)
            self.close()
        return batch

    async def _sleep_step(self, seconds: float) -> None:
        now = trio.current_time()
        self._due = max(self._due + seconds, now - HEARTBEAT_SECONDS)
        await trio.sleep_until(self._due)
        await self._wait_for_thaw()

    def _step_seconds(self) -> float:
        seconds = 0.0
        previous = None
        for stage, runner in zip(self.order.stages, self._stages, strict=True):
            if runner is None:
                continue
            seconds += runner.stage_seconds(stage.end_layer - stage.first_layer)
            if previous is not None:
                seconds += self.head.cluster.link_seconds(previous, runner)
            previous = runner
        if previous is not None and previous is not self.head:
            seconds += self.head.cluster.link_seconds(previous, self.head)
        return seconds

    async def _run_token(self) -> list[EngineEvent]:
        stages = self._pick_stages()
        activation = begin_token(self._digest, self._index)
        for stage, runner in stages:
            if runner is None:
                activation = await self._forward(stage, activation)
            else:
                activation = run_layers(
                    activation,
                    runner.version_seed,
                    range(stage.first_layer, stage.end_layer),
                )
                self._note_token(runner)
        if self._lost is not None:
            return []
        ids = tuple(stage.instance_id for stage, _ in stages)
        order = self.order
        text = format_token(activation)
        event = TokenEvent(order.request_id, order.attempt, self._index, text, ids)
        batch = [*self._make_stray_events(event), event]
        if len(stages) == len(order.stages):
            self._index += 1
        return batch

    def _note_token(self, runner: "Runner") -> None:
        runner.note_run(self.order.request_id, 1)
        marker = runner.crash_marker
        is_late = self._index + 1 >= runner.crash_after_tokens
        if marker and is_late and marker in self.order.prompt:
            runner.die()

    def _pick_stages(self) -> list[tuple[Stage, "Runner | None"]]:
        stages = list(zip(self.order.stages, self._stages, strict=True))
        if self.head.skip_tokens and len(stages) > 1:
            self.head.skip_tokens -= 1
            return stages[:-1]
        return stages

    async def _forward(self, stage: Stage, activation: int) -> int:
        try:
            return await self.head.cluster.stage_client.forward(
                self.order, stage, activation
            )
        except ConnectFailed as error:
            raise StageFailed(stage.instance_id, UNREACHABLE_REASON) from error
        except TransportError as error:
            raise StageFailed(stage.instance_id, DIED_REASON) from error

    def _make_stray_events(self, event: TokenEvent) -> list[EngineEvent]:
        if not self.head.cross_tokens:
            return []
        self.head.cross_tokens -= 1
        request_id, attempt, index = event.request_id, event.attempt, event.index
        other = "stray.0.0.0"
        ids = event.stages
        return [
            TokenEvent(request_id, attempt - 1, index, "late ", ids),
            TokenEvent(other, attempt, index, "crossed ", ids),
            TokenEvent(request_id, attempt, index - 1, "again ", ids),
            EndEvent(request_id, attempt - 1, index, "stop"),
            EndEvent(other, attempt, index, "stop"),
        ]
