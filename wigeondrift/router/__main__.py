"""Main function of the router process."""

import signal


def main() -> None:
    """Run a router until it is stopped by a signal.

    The optional argument names the file of the operator's options.
    """
    # A change of the settings file while the modules are imported must not end the
    # process. The file is read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    import sys

    import trio

    from wigeondrift.errors import SettingsError
    from wigeondrift.router.composition import (
        compose_router,
        exit_with_error,
        load_settings,
    )
    from wigeondrift.router.options import load_options

    try:
        if len(sys.argv) > 2:
            raise SettingsError("", "$", "there is more than one argument")
        options = load_options(sys.argv[1] if len(sys.argv) == 2 else None)
        settings = load_settings()
    except SettingsError as error:
        exit_with_error(error)
        return
    application, reloader = compose_router(settings, load_settings, options)
    trio.run(application.run_until_signalled, reloader.reload)


if __name__ == "__main__":
    main()
