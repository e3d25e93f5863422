"""Attempt of a request on the first stage, which also runs the later stages."""

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
    digest_prompt,
    format_token,
    get_answer_length,
    make_first_activation,
    run_layers,
)

if TYPE_CHECKING:
    from wigeondrift_emulator.runner import Runner

HEARTBEAT_SECONDS = 0.4
MIN_BATCH_SECONDS = 0.004
MAX_BATCH_TOKENS = 16
DIED_REASON = "died"


class StageFailed(Exception):
    """A stage in another process failed."""

    def __init__(self, instance_id: str, reason: str) -> None:
        super().__init__(instance_id)
        self.instance_id = instance_id
        self.reason = reason


class Session(MemorySession):
    """One attempt; the caller pulls its events with ``next_batch``.

    Parameters
    ----------
    first_runner : Runner
        Runner of the first stage.
    request : GenerateRequest
    stages : list of Runner or None
        Runners of the stages; None for a stage in another process.
    """

    def __init__(
        self,
        first_runner: "Runner",
        request: GenerateRequest,
        stages: list["Runner | None"],
    ) -> None:
        self.first_runner = first_runner
        self.request = request
        self.silent = False
        self._stages = stages
        self._local_runners = [runner for runner in stages if runner is not None]
        self._tickets: list[tuple[Runner, Ticket]] = []
        self._digest = digest_prompt(request.service, request.prompt)
        self._token_count, self._finish_reason = get_answer_length(
            request.prompt, request.max_tokens
        )
        self._next_index = len(request.tokens)
        self._prefilled_at: float | None = None
        self._next_token_at = 0.0
        self._is_closed = False
        self._dead_runner: Runner | None = None
        self._scope: trio.CancelScope | None = None
        for runner in self._local_runners:
            runner.sessions[self] = None
            runner.record_run(request.request_id, 0)

    def is_attempt(self, request_id: str, attempt: int) -> bool:
        """Whether this is attempt ``attempt`` of the request."""
        return self.request.request_id == request_id and self.request.attempt == attempt

    def handle_runner_death(self, runner: "Runner") -> None:
        """Fail the attempt because one of its runners died.

        The first stage takes precedence: its death is reported as a lost connection.
        """
        if self._dead_runner is None or runner is self.first_runner:
            self._dead_runner = runner
        if self._scope is not None:
            self._scope.cancel()

    def abort(self) -> None:
        """End the attempt without an end event."""
        self.close()
        if self._scope is not None:
            self._scope.cancel()

    def close(self) -> None:
        """Release the slots and detach from the runners."""
        self._is_closed = True
        for runner, ticket in self._tickets:
            runner.slots.release(ticket)
            runner.record_load()
        self._tickets.clear()
        for runner in self._local_runners:
            runner.sessions.pop(self, None)

    async def next_batch(self) -> list[EngineEvent] | None:
        """Return the next events: an empty list as heartbeat, None after the end.

        Raises
        ------
        ConnectionLost
            If the runner of the first stage died.
        """
        batch = None
        failed_id = ""
        reason = DIED_REASON
        if self._dead_runner is None and not self._is_closed:
            with trio.CancelScope() as self._scope:
                try:
                    batch = await self._advance()
                except StageFailed as failure:
                    failed_id = failure.instance_id
                    reason = failure.reason
            self._scope = None
        if self._dead_runner is self.first_runner:
            self.close()
            raise ConnectionLost("the runner died")
        if self.silent:
            await trio.sleep_forever()
        if self._dead_runner is not None and not self._is_closed:
            failed_id = self._dead_runner.settings.instance_id
        if failed_id:
            self.close()
            request = self.request
            return [
                FailureEvent(request.request_id, request.attempt, failed_id, reason)
            ]
        return batch

    async def _advance(self) -> list[EngineEvent]:
        await self._wait_for_thaw()
        if not await self._acquire_slots():
            return []
        if self._prefilled_at is None:
            self._begin_prefill()
        now = trio.current_time()
        if now < self._prefilled_at:
            await trio.sleep(min(HEARTBEAT_SECONDS, self._prefilled_at - now))
            return []
        return await self._generate()

    async def _wait_for_thaw(self) -> None:
        for runner in self._local_runners:
            await runner.thawed.wait()

    async def _acquire_slots(self) -> bool:
        while len(self._tickets) < len(self._local_runners):
            if not self._tickets or self._tickets[-1][1].granted.is_set():
                runner = self._local_runners[len(self._tickets)]
                ticket = runner.slots.enqueue(self.request.priority)
                self._tickets.append((runner, ticket))
                runner.record_load()
            if not await self._wait_for_ticket():
                return False
        return await self._wait_for_ticket()

    async def _wait_for_ticket(self) -> bool:
        runner, ticket = self._tickets[-1]
        if ticket.granted.is_set():
            return True
        with trio.move_on_after(HEARTBEAT_SECONDS):
            await ticket.granted.wait()
        runner.record_load()
        return ticket.granted.is_set()

    def _begin_prefill(self) -> None:
        text = self.request.prompt + "".join(self.request.tokens)
        now = trio.current_time()
        seconds = 0.0
        for runner in self._local_runners:
            marker = runner.crash_marker
            if marker and marker in text and runner.crash_after_tokens == 0:
                runner.die()
                break
            seconds += runner.prefill(text)
        self._prefilled_at = now + seconds
        self._next_token_at = self._prefilled_at

    async def _generate(self) -> list[EngineEvent]:
        batch: list[EngineEvent] = []
        token_seconds = self._get_token_seconds()
        batch_size = 1
        if token_seconds < MIN_BATCH_SECONDS and len(self._local_runners) == len(
            self._stages
        ):
            batch_size = min(
                MAX_BATCH_TOKENS, int(MIN_BATCH_SECONDS / max(token_seconds, 1e-4)) + 1
            )
        tokens = max(0, min(batch_size, self._token_count - self._next_index))
        await self._wait_for_batch_time(token_seconds * tokens)
        for _ in range(tokens):
            batch.extend(await self._run_token())
            if self._dead_runner is not None:
                return batch
        if self._next_index >= self._token_count:
            request = self.request
            count = max(self._token_count, self._next_index)
            end = EndEvent(
                request.request_id, request.attempt, count, self._finish_reason
            )
            batch.append(end)
            self.close()
        return batch

    async def _wait_for_batch_time(self, seconds: float) -> None:
        now = trio.current_time()
        self._next_token_at = max(
            self._next_token_at + seconds, now - HEARTBEAT_SECONDS
        )
        await trio.sleep_until(self._next_token_at)
        await self._wait_for_thaw()

    def _get_token_seconds(self) -> float:
        seconds = 0.0
        previous = None
        for stage, runner in zip(self.request.stages, self._stages, strict=True):
            if runner is None:
                continue
            seconds += runner.get_stage_seconds(stage.end_layer - stage.first_layer)
            if previous is not None:
                seconds += self.first_runner.cluster.get_link_seconds(previous, runner)
            previous = runner
        if previous is not None and previous is not self.first_runner:
            seconds += self.first_runner.cluster.get_link_seconds(
                previous, self.first_runner
            )
        return seconds

    async def _run_token(self) -> list[EngineEvent]:
        stages = self._get_stages_to_run()
        activation = make_first_activation(self._digest, self._next_index)
        for stage, runner in stages:
            if runner is None:
                activation = await self._forward(stage, activation)
            else:
                activation = run_layers(
                    activation,
                    runner.version_seed,
                    range(stage.first_layer, stage.end_layer),
                )
                self._record_token(runner)
        if self._dead_runner is not None:
            return []
        ids = tuple(stage.instance_id for stage, _ in stages)
        request = self.request
        text = format_token(activation)
        event = TokenEvent(
            request.request_id, request.attempt, self._next_index, text, ids
        )
        batch = [*self._make_stray_events(event), event]
        if len(stages) == len(request.stages):
            self._next_index += 1
        return batch

    def _record_token(self, runner: "Runner") -> None:
        runner.record_run(self.request.request_id, 1)
        marker = runner.crash_marker
        is_crash_due = self._next_index + 1 >= runner.crash_after_tokens
        if marker and is_crash_due and marker in self.request.prompt:
            runner.die()

    def _get_stages_to_run(self) -> list[tuple[Stage, "Runner | None"]]:
        stages = list(zip(self.request.stages, self._stages, strict=True))
        if self.first_runner.tokens_skipping_stage and len(stages) > 1:
            self.first_runner.tokens_skipping_stage -= 1
            return stages[:-1]
        return stages

    async def _forward(self, stage: Stage, activation: int) -> int:
        try:
            return await self.first_runner.cluster.stage_client.forward(
                self.request, stage, activation
            )
        except ConnectFailed as error:
            raise StageFailed(stage.instance_id, UNREACHABLE_REASON) from error
        except TransportError as error:
            raise StageFailed(stage.instance_id, DIED_REASON) from error

    def _make_stray_events(self, event: TokenEvent) -> list[EngineEvent]:
        if not self.first_runner.tokens_with_stray_events:
            return []
        self.first_runner.tokens_with_stray_events -= 1
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
