"""Answers that requests to other routers wait for."""

from collections.abc import Awaitable
from typing import Protocol

import trio


class NumberedAnswer(Protocol):
    """Message that repeats the number of the request it answers."""

    number: int


class _Pending:
    __slots__ = ("answer", "answered")

    def __init__(self) -> None:
        self.answered = trio.Event()
        self.answer: NumberedAnswer | None = None


class PendingAnswers:
    """Brings answers to the requests that wait for them, by their numbers."""

    __slots__ = ("_pending_by_number",)

    def __init__(self) -> None:
        self._pending_by_number: dict[int, _Pending] = {}

    async def wait(
        self, number: int, sending: Awaitable[None], seconds: float
    ) -> NumberedAnswer | None:
        """Send a request and return its answer, or None if it gets none in time.

        Parameters
        ----------
        number : int
            Number of the request.
        sending : awaitable
            Sends the request.
        seconds : float
            Time to wait for the answer.
        """
        pending = self._pending_by_number[number] = _Pending()
        try:
            await sending
            with trio.move_on_after(seconds):
                await pending.answered.wait()
        finally:
            del self._pending_by_number[number]
        return pending.answer

    def apply(self, answer: NumberedAnswer) -> None:
        """Pass an answer on; one that nobody waits for is dropped."""
        pending = self._pending_by_number.get(answer.number)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()
