"""Rereads the settings file and applies what can change at run time."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable

from lentiltally.direct.settings import HostBounds, HostSettings

__all__ = ["SettingsWatch"]

_log = logging.getLogger(__name__)


class SettingsWatch:
    """Applies changes of the settings file to a running process.

    New bounds take effect at once. Addresses and names are fixed while the process
    runs, so changes to them are only logged and take effect at the next start.
    """

    def __init__(
        self,
        settings: HostSettings,
        load: Callable[[], HostSettings],
        on_bounds: Callable[[HostBounds], None],
    ) -> None:
        """Call ``load`` to read the settings and ``on_bounds`` when bounds changed."""
        self._settings = settings
        self._load = load
        self._on_bounds = on_bounds
        self._last_error = ""

    def check(self) -> bool:
        """Reread the settings; return whether something changed.

        An invalid file changes nothing, and its error is logged once.
        """
        try:
            settings = self._load()
        except ExceptionGroup as group:
            error = "; ".join(str(cause) for cause in group.exceptions)
            if error != self._last_error:
                _log.warning("invalid settings ignored", extra={"error": error})
            self._last_error = error
            return False
        self._last_error = ""
        if settings == self._settings:
            return False
        changed = _changed_fields(self._settings, settings)
        _log.info("settings reloaded", extra={"changed": changed})
        if settings.bounds != self._settings.bounds:
            self._on_bounds(settings.bounds)
        self._settings = settings
        return True


def _changed_fields(before: HostSettings, after: HostSettings) -> list[str]:
    names = [field.name for field in dataclasses.fields(HostSettings)]
    return [name for name in names if getattr(before, name) != getattr(after, name)]
