"""Validation rules of settings that can't be expressed by types."""

import abc
import ipaddress
import itertools
import urllib.parse
from collections.abc import Iterator

import msgspec

from wigeondrift.validation import Fault
from wigeondrift.wire.body_budget import (
    ENTRY_DECODED_FACTOR,
    get_budget_bytes,
    get_needed_bytes,
)

MAX_PORT = 65535


class SettingsValues:
    """Values of a settings document, with defaults for absent fields.

    Parameters
    ----------
    document : object
        Decoded JSON.
    struct_type : type
        Struct type of the document.
    faults : list of Fault
        Faults found by type validation; the values at their locations are omitted.
    """

    __slots__ = ("_document", "_faulty_locations", "_struct_type")

    def __init__(
        self, document: object, struct_type: type, faults: list[Fault]
    ) -> None:
        self._document = document
        self._struct_type = struct_type
        self._faulty_locations = {fault.location for fault in faults}

    def get(self, path: str) -> object:
        """Return the value at a dotted path, or ``msgspec.UNSET`` if omitted."""
        value, struct_type, location = self._document, self._struct_type, "$"
        for name in path.split("."):
            if not isinstance(value, dict):
                return msgspec.UNSET
            fields = {
                field.name: field for field in msgspec.structs.fields(struct_type)
            }
            field = fields[name]
            if name not in value and field.default is msgspec.NODEFAULT:
                return msgspec.UNSET
            value = value.get(name, field.default)
            struct_type = field.type
            location = f"{location}.{name}"
            if location in self._faulty_locations:
                return msgspec.UNSET
            if isinstance(value, msgspec.Struct):
                value = msgspec.to_builtins(value)
        return value


class Rule(abc.ABC):
    """Validation rule over the values of a settings document."""

    __slots__ = ()

    @abc.abstractmethod
    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield the violations of the rule."""


class AddressRule(Rule):
    """Requires values to be a numeric IP address and a port, or empty."""

    __slots__ = ("_paths",)

    def __init__(self, *paths: str) -> None:
        self._paths = paths

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield the values that are not addresses."""
        for path, address in iter_strings(values, self._paths):
            reason = find_address_fault(address)
            if address and reason:
                yield Fault(f"$.{path}", reason)


class UrlRule(Rule):
    """Requires a value to be an HTTP URL with a numeric IP address, or empty."""

    __slots__ = ("_path",)

    def __init__(self, path: str) -> None:
        self._path = path

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield a fault if the value is not such a URL."""
        for path, url in iter_strings(values, (self._path,)):
            if not url:
                continue
            parts = urllib.parse.urlsplit(url)
            if parts.scheme != "http":
                yield Fault(f"$.{path}", "is not an http:// URL")
            elif reason := find_address_fault(parts.netloc):
                yield Fault(f"$.{path}", reason)


class DistinctRule(Rule):
    """Requires addresses to differ from each other."""

    __slots__ = ("_paths",)

    def __init__(self, *paths: str) -> None:
        self._paths = paths

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield each address that occurs more than once."""
        found = list(iter_strings(values, self._paths))
        for (path, address), (other_path, other) in itertools.combinations(found, 2):
            if address and address == other:
                yield Fault(f"$.{other_path}", f"is the same address as {path}")


class LessThanRule(Rule):
    """Requires one number to be less than another."""

    __slots__ = ("_lower", "_reason", "_upper")

    def __init__(self, lower: str, upper: str, reason: str) -> None:
        self._lower = lower
        self._upper = upper
        self._reason = reason

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield a fault if the lower number is not less than the upper one."""
        lower = values.get(self._lower)
        upper = values.get(self._upper)
        if lower is msgspec.UNSET or upper is msgspec.UNSET or lower < upper:
            return
        reason = f"{lower} is not below {self._upper} = {upper}: {self._reason}"
        yield Fault(f"$.{self._lower}", reason)


class BodyMemoryRule(Rule):
    """Requires the memory for bodies to hold one of the largest size."""

    __slots__ = ("_body_path", "_memory_path")

    def __init__(self, memory_path: str, body_path: str) -> None:
        self._memory_path = memory_path
        self._body_path = body_path

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield a fault if a stated memory is too small; zero is the default."""
        memory_mb = values.get(self._memory_path)
        body_bytes = values.get(self._body_path)
        if msgspec.UNSET in (memory_mb, body_bytes) or not memory_mb:
            return
        budget = get_budget_bytes(memory_mb)
        needed = get_needed_bytes(body_bytes, ENTRY_DECODED_FACTOR)
        if budget < needed:
            reason = (
                f"{memory_mb} leaves {budget} bytes for bodies, and one of "
                f"{self._body_path} = {body_bytes} needs {needed}"
            )
            yield Fault(f"$.{self._memory_path}", reason)


def iter_strings(
    values: SettingsValues, paths: tuple[str, ...]
) -> Iterator[tuple[str, str]]:
    """Yield path and value of each string, including the items of lists."""
    for path in paths:
        value = values.get(path)
        if isinstance(value, str):
            yield path, value
        elif isinstance(value, list | tuple):
            for index, item in enumerate(value):
                if isinstance(item, str):
                    yield f"{path}[{index}]", item


def find_address_fault(address: str) -> str | None:
    """Return why ``address`` is not a valid ``host:port``, or None if it is."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"the host {host!r} is not a numeric IP address"
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        return f"the port {port!r} is not between 1 and {MAX_PORT}"
    return None
