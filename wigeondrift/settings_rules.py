"""Rules over the values of a settings document that types cannot state."""

import abc
import ipaddress
import itertools
import urllib.parse
from collections.abc import Iterator

import msgspec

from wigeondrift.validation import Fault

MAX_PORT = 65535


class SettingsValues:
    """Values of a document with the defaults of its type.

    Parameters
    ----------
    document : object
        Decoded JSON.
    kind : type
        Its struct type.
    faults : list of Fault
        Faults found by type; values at their places are left out.
    """

    __slots__ = ("_document", "_faulty", "_kind")

    def __init__(self, document: object, kind: type, faults: list[Fault]) -> None:
        self._document = document
        self._kind = kind
        self._faulty = {fault.location for fault in faults}

    def get(self, path: str) -> object:
        """Return the value at a dotted path; ``msgspec.UNSET`` if there is none."""
        value, kind, location = self._document, self._kind, "$"
        for name in path.split("."):
            if not isinstance(value, dict):
                return msgspec.UNSET
            fields = {field.name: field for field in msgspec.structs.fields(kind)}
            field = fields[name]
            if name not in value and field.default is msgspec.NODEFAULT:
                return msgspec.UNSET
            value = value.get(name, field.default)
            kind = field.type
            location = f"{location}.{name}"
            if location in self._faulty:
                return msgspec.UNSET
            if isinstance(value, msgspec.Struct):
                value = msgspec.to_builtins(value)
        return value


class Rule(abc.ABC):
    """One rule over the values of a document."""

    __slots__ = ()

    @abc.abstractmethod
    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield what breaks the rule."""


class AddressRule(Rule):
    """Each value is a numeric IP address and a port; empty ones are left out."""

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
    """The value is an HTTP URL with a numeric IP address; an empty one passes."""

    __slots__ = ("_path",)

    def __init__(self, path: str) -> None:
        self._path = path

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield the value if it is not such a URL."""
        for path, url in iter_strings(values, (self._path,)):
            if not url:
                continue
            parts = urllib.parse.urlsplit(url)
            if parts.scheme != "http":
                yield Fault(f"$.{path}", "is not an http:// URL")
            elif reason := find_address_fault(parts.netloc):
                yield Fault(f"$.{path}", reason)


class DistinctRule(Rule):
    """No two of the addresses are the same."""

    __slots__ = ("_paths",)

    def __init__(self, *paths: str) -> None:
        self._paths = paths

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield each address that stands twice."""
        found = list(iter_strings(values, self._paths))
        for (first, one), (second, other) in itertools.combinations(found, 2):
            if one and one == other:
                yield Fault(f"$.{second}", f"is the same address as {first}")


class LessThanRule(Rule):
    """One number is below another."""

    __slots__ = ("_lower", "_reason", "_upper")

    def __init__(self, lower: str, upper: str, reason: str) -> None:
        self._lower = lower
        self._upper = upper
        self._reason = reason

    def check(self, values: SettingsValues) -> Iterator[Fault]:
        """Yield the lower number if it is not below the upper one."""
        lower = values.get(self._lower)
        upper = values.get(self._upper)
        if lower is msgspec.UNSET or upper is msgspec.UNSET or lower < upper:
            return
        reason = f"{lower} is not below {self._upper} = {upper}: {self._reason}"
        yield Fault(f"$.{self._lower}", reason)


def iter_strings(
    values: SettingsValues, paths: tuple[str, ...]
) -> Iterator[tuple[str, str]]:
    """Yield path and text of each value; of a list, those of its items."""
    for path in paths:
        value = values.get(path)
        if isinstance(value, str):
            yield path, value
        elif isinstance(value, list | tuple):
            for index, item in enumerate(value):
                if isinstance(item, str):
                    yield f"{path}[{index}]", item


def find_address_fault(address: str) -> str | None:
    """Return what keeps ``address`` from being ``host:port``, if anything."""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return f"the host {host!r} is not a numeric IP address"
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        return f"the port {port!r} is not between 1 and {MAX_PORT}"
    return None
