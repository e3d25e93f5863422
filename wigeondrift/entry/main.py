"""Main function of ``wigeondrift-entry``."""

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
EXIT_BOUND = 3

app = cyclopts.App(name="wigeondrift-entry", help="Takes callers' requests.")


@app.default
def run(*, settings: Path) -> None:
    """Run the entry until it is told to stop.

    The exit code is 2 if the settings are refused, and 3 if a planned stop hit its
    bound.

    Parameters
    ----------
    settings : Path
        JSON file with the settings.
    """
    loaded = load_or_exit(settings)
    from wigeondrift.composition import compose_entry

    run_application(compose_entry(loaded))


def load_or_exit(path: Path) -> EntrySettings:
    """Return the checked settings; end the process if they are refused."""
    try:
        return load_settings(str(path), EntrySettings)
    except SettingsError as error:
        _refuse(error)
        sys.exit(EXIT_SETTINGS_REFUSED)


def run_application(application: Application) -> None:
    """Run until a planned stop has ended; end the process if it hit its bound."""
    trio.run(application.run_until_signalled)
    logger = logging.getLogger(LOGGER_NAME)
    bound_reached = application.bound_reached
    log_event(logger, logging.INFO, Event.STOPPED, bound_reached=bound_reached)
    if bound_reached:
        sys.exit(EXIT_BOUND)


def _refuse(error: SettingsError) -> None:
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
