"""Demo: runs the complete system on loopback and shows its main functions once.

Prints each step and its result; exits with status 1 if one fails. All processes that
the demo starts are terminated.
"""

import contextlib
import subprocess
import sys
import time
from collections.abc import Iterator

import msgspec

from wigeondrift.entry.completions import CompletionRequest
from wigeondrift_emulator.stack import (
    MODEL,
    PLAIN,
    Stack,
    StackSettings,
    call,
    get_bearer_key,
)

TOKENS = 12
LIMIT_CHANGE_TIMEOUT_SECONDS = 4.0
POLL_SECONDS = 0.05
ORDER_KEY = "demo-slot-7"


class DemoFailed(Exception):
    """A step of the demo did not have the expected result."""


def check(condition: object, description: str) -> None:
    """Raise ``DemoFailed`` with the description unless the condition holds."""
    if not condition:
        raise DemoFailed(description)


def print_line(line: str) -> None:
    """Print a line and flush the output."""
    print(line, flush=True)


class Demo:
    """Steps of the demo on a running stack.

    Parameters
    ----------
    stack : Stack
    """

    __slots__ = ("_stack",)

    def __init__(self, stack: Stack) -> None:
        self._stack = stack

    def run(self) -> None:
        """Run all steps.

        Raises
        ------
        DemoFailed
            If a step does not have the expected result.
        """
        self.show_processes()
        self.stream_answer()
        self.send_order()
        self.change_limit()

    def show_processes(self) -> None:
        """Print the running processes."""
        stack = self._stack
        print_line("1. Processes on loopback:")
        print_line(f"   platform emulator   pid {stack.platform.popen.pid}")
        print_line(f"   orders emulator     pid {stack.orders.popen.pid}")
        for domain, process in stack.engines_by_domain.items():
            print_line(f"   engines in {domain:<9} pid {process.popen.pid}")
        for domain, process in stack.agents_by_domain.items():
            print_line(f"   agent in {domain:<11} pid {process.popen.pid}")
        for document, process in zip(stack.entry_documents, stack.entries, strict=True):
            location = f"{document['failure_domain']}, {process.address}"
            print_line(f"   entry in {location}  pid {process.popen.pid}")

    def stream_answer(self) -> None:
        """Stream the same answer through each entry and compare."""
        print_line("2. An answer streamed over a route of stages:")
        texts = set()
        for address in self._stack.entry_addresses:
            texts.add(self._stream_through(address))
        check(len(texts) == 1, "the entries' answers differ")

    def _stream_through(self, address: str) -> str:
        started_at = time.monotonic()
        status, headers, body = self._post_prompt(address, "bellows squeak", True)
        seconds = time.monotonic() - started_at
        check(status == 200, f"status {status}: {body!r}")
        check(body.endswith(b"data: [DONE]\n\n"), "the stream has no end mark")
        check(b": outcome=ran\n" in body, "the stream names no outcome")
        tokens = list(iter_chunk_texts(body))
        text = "".join(tokens)
        print_line(f"   {address} request {headers['x-request-id']}")
        print_line(f"   {len(tokens)} chunks in {seconds:.3f} s, outcome ran: {text}")
        return text

    def _post_prompt(
        self, address: str, prompt: str, stream: bool
    ) -> tuple[int, dict[str, str], bytes]:
        request = CompletionRequest(MODEL, prompt, max_tokens=TOKENS, stream=stream)
        headers = [
            ("Authorization", f"Bearer {get_bearer_key(0)}"),
            ("Content-Type", "application/json"),
        ]
        body = msgspec.json.encode(request)
        return call(address, "POST", "/v1/completions", headers, body)

    def send_order(self) -> None:
        """Send the same order twice through every entry; it must run once."""
        print_line("3. One order, sent twice through each entry with the same key:")
        bodies = set()
        for address in self._stack.entry_addresses * 2:
            headers = [
                ("Authorization", f"Bearer {get_bearer_key(0)}"),
                ("Idempotency-Key", ORDER_KEY),
            ]
            status, answer_headers, body = call(
                address, "POST", f"/services/{PLAIN}/orders", headers, b'{"slot": 7}'
            )
            check(status == 201, f"status {status}: {body!r}")
            outcome = answer_headers["x-outcome"]
            print_line(
                f"   {address} status {status}, outcome {outcome}: {body.decode()}"
            )
            bodies.add(body)
        check(len(bodies) == 1, "the answers differ")
        runs = self._stack.get_order_runs()
        print_line(f"   runs in the order service's own ledger: {runs}")
        check(runs == {ORDER_KEY: 1}, "the order did not run exactly once")

    def change_limit(self) -> None:
        """Set a team's request limit to zero, wait for all entries, and restore it."""
        print_line("4. A changed limit in force on all entries:")
        self._set_request_limit(0)
        self._wait_for_status(429)
        self._set_request_limit(100)
        self._wait_for_status(200)

    def _set_request_limit(self, requests: int) -> None:
        arguments = ["table", "set", "team-0", MODEL, f"requests={requests}"]
        print_line(f"   $ wigeondriftctl {' '.join(arguments)}")
        for line in run_operator_tool(self._stack, *arguments).splitlines():
            print_line(f"   {line}")

    def _wait_for_status(self, expected_status: int) -> None:
        started_at = time.monotonic()
        for number, address in enumerate(self._stack.entry_addresses):
            prompt = f"probe {number}"
            status = self._post_prompt(address, prompt, False)[0]
            while status != expected_status:
                check(
                    time.monotonic() < started_at + LIMIT_CHANGE_TIMEOUT_SECONDS,
                    f"{address} still answers {status}",
                )
                time.sleep(POLL_SECONDS)
                status = self._post_prompt(address, prompt, False)[0]
            seconds = time.monotonic() - started_at
            print_line(f"   {address} answers {status} after {seconds:.2f} s")


def iter_chunk_texts(body: bytes) -> Iterator[str]:
    """Yield the texts of the chunks of a completion stream."""
    for event in body.split(b"\n\n"):
        if event.startswith(b"data: {"):
            chunk = msgspec.json.decode(event.removeprefix(b"data: "))
            text = chunk["choices"][0]["text"]
            if text:
                yield text


def run_operator_tool(stack: Stack, *arguments: str) -> str:
    """Run ``wigeondriftctl`` against the stack's platform; return its output.

    Raises
    ------
    DemoFailed
        If it exits with an error status.
    """
    command = [sys.executable, "-m", "wigeondrift.operator", *arguments]
    done = subprocess.run(
        [*command, "--platform", stack.operator_address],
        capture_output=True,
        text=True,
        check=False,
    )
    output = done.stdout + done.stderr
    check(done.returncode == 0, f"wigeondriftctl: {output}")
    return output


def main() -> int:
    """Run the demo and return the exit status."""
    stack = Stack(StackSettings())
    with contextlib.closing(stack):
        try:
            stack.start()
            Demo(stack).run()
        except (DemoFailed, AssertionError) as failure:
            print_line(f"FAILED: {failure}")
            return 1
    print_line("All steps passed; all processes are ended.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
