"""Reads the platform's settings file: lines of the form ``a.b=value``."""

from wigeondrift.errors import SettingsError
from wigeondrift.router.settings import Bounds, RouterSettings
from wigeondrift.wire.body_budget import MAX_MEMORY_MB
from wigeondrift.wire.numbers import parse_whole_number

MEMORY_KEY = "limits.memory_mb"
SETTINGS_VARIABLE = "WIGEONDRIFT_CONFIG"
MS_PER_SECOND = 1000.0


def parse_settings(text: str, path: str = "settings") -> RouterSettings:
    """Parse the settings; unknown fields are ignored.

    Parameters
    ----------
    text : str
    path : str
        Path of the file, for error messages.

    Raises
    ------
    SettingsError
        If a required field is missing or a number is invalid.
    """
    values_by_name = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values_by_name[name.strip()] = value.strip()
    try:
        return _make_settings(values_by_name)
    except KeyError as error:
        raise SettingsError(path, error.args[0], "the field is missing") from error
    except ValueError as error:
        raise SettingsError(path, "$", f"bad value: {error}") from error


def _make_settings(values_by_name: dict[str, str]) -> RouterSettings:
    get = values_by_name.get
    ports = get("internal_ports", "").split(",")
    return RouterSettings(
        instance_id=values_by_name["node"],
        failure_domain=values_by_name["zone"],
        host=values_by_name["ip"],
        caller_address=values_by_name["listen.front"],
        ready_address=values_by_name["listen.ready"],
        store_address=values_by_name["platform.address"],
        peer_port=int(ports[0] or 0),
        heartbeat=float(get("heartbeat_ms", "1200")) / MS_PER_SECOND,
        descriptors=int(get("limits.max_fds", "4096")),
        link_mbps=float(get("limits.link_mbps", "0")),
        memory_mb=_parse_memory(get(MEMORY_KEY) or "0"),
        bounds=_make_bounds(values_by_name),
    )


def _parse_memory(text: str) -> int:
    memory_mb = parse_whole_number(text)
    if memory_mb is None or memory_mb > MAX_MEMORY_MB:
        reason = f"{MEMORY_KEY}={text} is not a whole number from 0 to {MAX_MEMORY_MB}"
        raise ValueError(reason)
    return memory_mb


def _make_bounds(values_by_name: dict[str, str]) -> Bounds:
    def seconds(name: str, default: float) -> float:
        value = values_by_name.get(f"bounds.{name}")
        return default if value is None else float(value) / MS_PER_SECOND

    def number(name: str, default: float) -> float:
        return float(values_by_name.get(f"bounds.{name}", default))

    is_strict = values_by_name.get("bounds.revoke_strict") == "true"
    defaults = Bounds()
    return Bounds(
        grace=number("grace_s", defaults.grace),
        key_revocation=(
            seconds("revoke_ms", defaults.key_revocation) if is_strict else 0.0
        ),
        # The configuration and the list of upstreams come from the same store.
        change_apply=min(
            seconds("config_apply_ms", defaults.change_apply),
            seconds("drain_ms", defaults.change_apply),
        ),
        retry_ratio=number("budget_ratio", defaults.retry_ratio),
        retry_window=number("budget_window_s", defaults.retry_window),
        retry_slack=number("budget_slack", defaults.retry_slack),
    )
