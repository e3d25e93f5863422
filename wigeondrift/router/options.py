"""Options of the operator: a JSON file named as the argument of the router."""

from pathlib import Path
from typing import Annotated

import msgspec

from wigeondrift.errors import SettingsError

# Hedged requests per request that are accepted at most; more would not be some extra
# work but a second copy of the load.
MAX_HEDGING_RATIO = 0.1


class HedgingOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Options of hedged requests.

    Attributes
    ----------
    ratio : float
        Hedged requests per request of a service; zero for none.
    """

    ratio: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_HEDGING_RATIO)] = 0.0


class RouterOptions(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All options; those that are absent are off."""

    hedging: HedgingOptions = HedgingOptions()


def load_options(path: str | None) -> RouterOptions:
    """Read the options; without a path, all are off.

    Raises
    ------
    SettingsError
        If there is no readable file, or it has an unknown key or an invalid value.
    """
    if path is None:
        return RouterOptions()
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(path, "$", error.strerror or "unreadable") from error
    try:
        return msgspec.json.decode(data, type=RouterOptions)
    except msgspec.ValidationError as error:
        # The message of an error within a member ends with the path of its key.
        reason, _, location = str(error).partition(" - at ")
        location = location.strip("`") or "$"
        raise SettingsError(path, location, reason) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(path, "$", str(error)) from error
