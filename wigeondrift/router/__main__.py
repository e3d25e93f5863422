"""Main function of the router process."""

import trio

from wigeondrift.errors import SettingsError
from wigeondrift.router.composition import (
    compose_router,
    exit_with_error,
    load_settings,
)


def main() -> None:
    """Run a router until it is stopped by a signal."""
    try:
        settings = load_settings()
    except SettingsError as error:
        exit_with_error(error)
        return
    application, reloader = compose_router(settings, load_settings)
    trio.run(application.run_until_signalled, reloader.reload)


if __name__ == "__main__":
    main()
