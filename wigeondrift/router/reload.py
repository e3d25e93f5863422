"""Reloads the settings file while the router runs."""

import logging
from collections.abc import Callable

from wigeondrift.errors import SettingsError
from wigeondrift.router.settings import RouterSettings
from wigeondrift.telemetry.events import LOGGER_NAME, Event, log_event

# Interval at which the file is read, as it may change without a signal.
POLL_SECONDS = 1.0


class Reloader:
    """Reads the settings again and notifies subscribers of changes.

    Parameters
    ----------
    settings : RouterSettings
        Current settings.
    load : callable
        Reads the settings from the file; raises ``SettingsError``.
    """

    __slots__ = ("_last_error", "_load", "_logger", "_subscribers", "settings")

    def __init__(
        self, settings: RouterSettings, load: Callable[[], RouterSettings]
    ) -> None:
        self.settings = settings
        self._load = load
        self._last_error = ""
        self._subscribers: list[Callable[[RouterSettings], None]] = []
        self._logger = logging.getLogger(LOGGER_NAME)

    def subscribe(self, callback: Callable[[RouterSettings], None]) -> None:
        """Call ``callback`` with the settings after each change."""
        self._subscribers.append(callback)

    async def poll(self, now: float) -> None:
        """Apply changes that came without a signal; called by the timer."""
        self._apply_settings(is_signalled=False)

    def reload(self) -> None:
        """Read the settings again after a signal."""
        self._apply_settings(is_signalled=True)

    def _apply_settings(self, is_signalled: bool) -> None:
        try:
            settings = self._load()
        except SettingsError as error:
            if is_signalled or str(error) != self._last_error:
                self._last_error = str(error)
                log_event(
                    self._logger,
                    logging.ERROR,
                    Event.SETTINGS_REFUSED,
                    reason=str(error),
                )
            return
        self._last_error = ""
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if is_signalled or changed:
            log_event(self._logger, logging.INFO, Event.RELOADED, changed=changed)
        if changed:
            self.settings = settings
            for callback in self._subscribers:
                callback(settings)
