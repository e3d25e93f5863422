"""Starts and ends the programs that a scenario needs, each by its id."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
WAIT_SECONDS = 30.0
STEP_SECONDS = 0.02


def free_address():
    """Return a loopback address that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def wait_until(condition, what):
    """Return the first true result of ``condition``."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(STEP_SECONDS)
    raise AssertionError(f"waited in vain: {what}")


class Process:
    """One running program with its log."""

    __slots__ = ("_log", "address", "popen")

    def __init__(self, module, arguments, address=None):
        self.address = address
        self._log = tempfile.NamedTemporaryFile(suffix=".log")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.popen = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
            env=environment,
        )

    @property
    def log(self):
        """Whole output so far."""
        return Path(self._log.name).read_text(errors="replace")

    def list_events(self, name):
        """Return the logged events of one name."""
        events = []
        for line in self.log.splitlines():
            if line.startswith("{") and f'"{name}"' in line:
                events.append(json.loads(line))
        return events

    def wait_for_event(self, name):
        """Wait until the log has an event of that name."""

        def look():
            if self.popen.poll() is not None:
                raise AssertionError(f"the process ended:\n{self.log}")
            return self.list_events(name)

        return wait_until(look, f"event {name}\n{self.log[-2000:]}")

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        """End the process at once."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def go_on(self):
        self.signal(signal.SIGCONT)


def write_settings(document):
    """Return the path of a settings file with the document."""
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(document, file)
    return file.name
