"""Type validation that reports all faults of a document, not only the first."""

import typing
from collections.abc import Iterator

import msgspec


class Fault(msgspec.Struct, frozen=True):
    """Validation fault of a document.

    Attributes
    ----------
    location : str
        Path of the value in the document, such as ``$.limits.body_bytes``.
    reason : str
    """

    location: str
    reason: str

    def __str__(self) -> str:
        return f"{self.location}: {self.reason}"


def find_faults(
    value: object, expected_type: type, location: str = "$"
) -> Iterator[Fault]:
    """Yield the faults of decoded JSON ``value`` with respect to ``expected_type``."""
    reason = _find_first_reason(value, expected_type)
    if reason is None:
        return
    base_type = _strip_annotation(expected_type)
    if isinstance(base_type, type) and issubclass(base_type, msgspec.Struct):
        if isinstance(value, dict):
            yield from _find_in_struct(value, base_type, location)
            return
    elif typing.get_origin(base_type) is dict and isinstance(value, dict):
        yield from _find_in_dict(value, base_type, location)
        return
    elif typing.get_origin(base_type) is tuple and isinstance(value, list):
        yield from _find_in_list(value, base_type, location)
        return
    yield Fault(location, reason)


def _find_first_reason(value: object, expected_type: type) -> str | None:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        return str(error).partition(" - at `")[0]
    return None


def _strip_annotation(expected_type: type) -> type:
    """Return the type without its ``Annotated`` constraints."""
    if typing.get_origin(expected_type) is typing.Annotated:
        return typing.get_args(expected_type)[0]
    return expected_type


def _find_in_struct(
    value: dict[str, object], expected_type: type, location: str
) -> Iterator[Fault]:
    fields_by_name = {
        field.name: field for field in msgspec.structs.fields(expected_type)
    }
    for name in value:
        if (
            name not in fields_by_name
            and expected_type.__struct_config__.forbid_unknown_fields
        ):
            yield Fault(location, f"Object contains unknown field `{name}`")
    for name, field in fields_by_name.items():
        if name in value:
            yield from find_faults(value[name], field.type, f"{location}.{name}")
        elif field.required:
            yield Fault(location, f"Object missing required field `{name}`")


def _find_in_dict(
    value: dict[str, object], expected_type: type, location: str
) -> Iterator[Fault]:
    key_type, item_type = typing.get_args(expected_type)
    for key, item in value.items():
        item_location = f"{location}[{key}]"
        reason = _find_first_reason(key, key_type)
        if reason is not None:
            yield Fault(item_location, f"invalid name: {reason}")
        yield from find_faults(item, item_type, item_location)


def _find_in_list(
    value: list[object], expected_type: type, location: str
) -> Iterator[Fault]:
    item_type = typing.get_args(expected_type)[0]
    for index, item in enumerate(value):
        yield from find_faults(item, item_type, f"{location}[{index}]")
