"""Command line of ``wigeondrift-entry``."""

import logging
import sys
from pathlib import Path

import cyclopts
import trio

from wigeondrift.application import Application
from wigeondrift.errors import SettingsError
from wigeondrift.settings import EntrySettings, load_settings
from wigeondrift.telemetry.events import (
    LOGGER_NAME,
    Event,
    configure_logging,
    log_event,
)

EXIT_SETTINGS_REFUSED = 2
EXIT_STOP_BOUND_REACHED = 3

app = cyclopts.App(
    name="wigeondrift-entry", help="Accepts requests from callers and forwards them."
)


@app.default
def run(*, settings: Path) -> None:
    """Run the entry until it receives a signal to stop.

    The exit code is 2 if the settings are invalid, and 3 if a planned stop
    reached its time limit, ``stop.bound``.

    Parameters
    ----------
    settings : Path
        JSON file with the settings.
    """
    loaded = load_or_exit(settings)
    from wigeondrift.composition import compose_entry

    run_application(compose_entry(loaded))


def load_or_exit(path: Path) -> EntrySettings:
    """Return the validated settings; exit the process if they are invalid."""
    try:
        return load_settings(str(path), EntrySettings)
    except SettingsError as error:
        _log_refusal(error)
        sys.exit(EXIT_SETTINGS_REFUSED)


def run_application(application: Application) -> None:
    """Run until a planned stop ends; exit with 3 if it reached its time limit."""
    trio.run(application.run_until_signalled)
    logger = logging.getLogger(LOGGER_NAME)
    bound_reached = application.bound_reached
    log_event(logger, logging.INFO, Event.STOPPED, bound_reached=bound_reached)
    if bound_reached:
        sys.exit(EXIT_STOP_BOUND_REACHED)


def _log_refusal(error: SettingsError) -> None:
    log_event(
        configure_logging("INFO"),
        logging.ERROR,
        Event.SETTINGS_REFUSED,
        path=error.path,
        location=error.location,
        reason=error.reason,
        faults=[str(fault) for fault in error.faults],
    )


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
