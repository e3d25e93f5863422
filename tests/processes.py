"""Helpers to run processes in tests, from ``wigeondrift_emulator.processes``."""

from wigeondrift_emulator.processes import (
    Process,
    find_free_address,
    wait_until,
    write_settings,
)

__all__ = ["Process", "find_free_address", "wait_until", "write_settings"]
