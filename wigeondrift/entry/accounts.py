"""Authentication of callers by bearer key."""

import hashlib

from wigeondrift.errors import ErrorKind, RequestError
from wigeondrift.table.tables import Tables

SCHEME = "bearer "


class Accounts:
    """Finds the team of a caller; the table holds only digests of the keys.

    Parameters
    ----------
    tables : Tables
        Read, but never modified.
    """

    __slots__ = ("_tables", "_teams_by_digest", "_version")

    def __init__(self, tables: Tables) -> None:
        self._tables = tables
        self._version = -1
        self._teams_by_digest: dict[str, str] = {}

    def get_team(self, authorization: str) -> str:
        """Return the team for the value of an ``Authorization`` header.

        Raises
        ------
        RequestError
            If the header has no bearer key, or no team has this key.
        """
        if self._version != self._tables.table_version:
            self._index_key_digests()
        if not authorization.lower().startswith(SCHEME):
            raise RequestError(ErrorKind.UNAUTHENTICATED, "a bearer key is required")
        key = authorization[len(SCHEME) :].strip()
        digest = hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
        team = self._teams_by_digest.get(digest)
        if team is None:
            raise RequestError(ErrorKind.UNAUTHENTICATED, "the bearer key is unknown")
        return team

    def _index_key_digests(self) -> None:
        self._version = self._tables.table_version
        self._teams_by_digest = {
            digest: name
            for name, team in self._tables.table.teams_by_name.items()
            for digest in team.key_digests
        }
