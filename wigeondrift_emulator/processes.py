"""Runs programs as child processes, for tests and experiments.

Processes are signalled and killed by process id only, never by name.
"""

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
    """Yield ports below the ephemeral range of the operating system.

    An outgoing connection could take an ephemeral port before a server listens on it.
    """
    span = LAST_PORT - FIRST_PORT
    start = os.getpid() * PORTS_PER_PROCESS % span
    for step in itertools.count():
        yield FIRST_PORT + (start + step) % span


_PORTS = _iter_ports()


def find_free_address() -> str:
    """Return a loopback ``host:port`` that was free when checked."""
    for port in _PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return f"127.0.0.1:{port}"
    raise AssertionError("no free port")


def wait_until(condition: Callable[[], Result], description: str) -> Result:
    """Poll ``condition`` and return its first true result.

    Raises
    ------
    AssertionError
        On timeout; the message contains ``description``.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(POLL_SECONDS)
    raise AssertionError(f"timed out waiting for: {description}")


class Process:
    """Child process that runs a Python module, with its output.

    Parameters
    ----------
    module : str
        Module to run.
    arguments : sequence of str
        Command line arguments.
    address : str, optional
        ``host:port`` that the program listens on.
    **environment : str
        Additional environment variables.
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
        """Restart the program after it exited; its output is appended to the log."""
        self.popen = self._start()

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited."""
        return self.popen.poll() is None

    @property
    def log(self) -> str:
        """Output so far."""
        return Path(self._log.name).read_text(errors="replace")

    def list_events(self, name: str) -> list[dict[str, Any]]:
        """Return the logged events with this name."""
        events = []
        for line in self.log.splitlines():
            if line.startswith("{") and f'"{name}"' in line:
                events.append(json.loads(line))
        return events

    def wait_for_event(self, name: str) -> list[dict[str, Any]]:
        """Wait for an event with this name; return all of them.

        Raises
        ------
        AssertionError
            If the process exits or the event is not logged in time.
        """

        def poll_events() -> list[dict[str, Any]]:
            if self.popen.poll() is not None:
                raise AssertionError(f"the process exited:\n{self.log}")
            return self.list_events(name)

        return wait_until(
            poll_events, f"event {name}\n{self.log[-LOG_TAIL_CHARACTERS:]}"
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it exited."""
        if self.is_running:
            self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process until ``resume``."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.signal(signal.SIGCONT)


def write_settings(document: object) -> str:
    """Write a JSON document to a new settings file; return its path."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(document, file)
    return file.name
