"""Starts and ends programs as processes, each by its id, for tests and experiments."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any, TypeVar

ROOT = Path(__file__).parent.parent
FIRST_PORT = 10000
LAST_PORT = 32000
PORTS_PER_PROCESS = 211
WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.02
LOG_TAIL_CHARACTERS = 2000

Result = TypeVar("Result")


def _iter_ports() -> Iterator[int]:
    """Yield ports below those that the system gives to outgoing connections.

    A port of that range could be taken by any connection before it is listened at.
    """
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_PROCESS % span
    for step in itertools.count():
        yield FIRST_PORT + (start + step) % span


_PORTS = _iter_ports()


def find_free_address() -> str:
    """Return a loopback ``host:port`` that was free a moment ago."""
    for port in _PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("no port is free")


def wait_until(condition: Callable[[], Result], description: str) -> Result:
    """Return the first true result of ``condition``.

    Raises
    ------
    AssertionError
        If it stays false; ``description`` is named in the message.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"waited in vain: {description}")


class Process:
    """One running program with its log.

    Parameters
    ----------
    module : str
        Module that is run.
    arguments : sequence of str
        Its command line.
    address : str, optional
        ``host:port`` at which it is reached.
    **environment : str
        Variables besides the own ones.
    """

    __slots__ = ("_command", "_environment", "_log", "address", "popen")

    def __init__(
        self,
        module: str,
        arguments: Sequence[str],
        address: str | None = None,
        **environment: str,
    ) -> None:
        self.address = address
        self._log = tempfile.NamedTemporaryFile(suffix=".log")  # noqa: SIM115
        self._command = [sys.executable, "-m", module, *arguments]
        self._environment = {**os.environ, "PYTHONPATH": str(ROOT), **environment}
        self.popen = self._start()

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            self._command,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env=self._environment,
        )

    def restart(self) -> None:
        """Start the program again after its end; its output goes on in one file."""
        self.popen = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    @property
    def log(self) -> str:
        """Whole output so far."""
        return Path(self._log.name).read_text(errors="replace")

    def list_events(self, name: str) -> list[dict[str, Any]]:
        """Return the logged events of one name."""
        events = []
        for line in self.log.splitlines():
            if line.startswith("{") and f'"{name}"' in line:
                events.append(json.loads(line))
        return events

    def wait_for_event(self, name: str) -> list[dict[str, Any]]:
        """Wait until the log has an event of that name; return them all."""

        def look() -> list[dict[str, Any]]:
            if self.popen.poll() is not None:
                raise AssertionError(f"the process ended:\n{self.log}")
            return self.list_events(name)

        return wait_until(look, f"event {name}\n{self.log[-LOG_TAIL_CHARACTERS:]}")

    def signal(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Stop the process from running until ``resume``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self.signal(signal.SIGCONT)


def write_settings(document: object) -> str:
    """Return the path of a new settings file with the JSON document."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(document, file)
    return file.name
