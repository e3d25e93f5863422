"""Answers that the gateway itself gives: errors and small documents."""

import msgspec

from wigeondrift.entry.service import OUTCOME_HEADER, REQUEST_ID_HEADER
from wigeondrift.errors import Outcome, RequestError
from wigeondrift.wire.http_server import Exchange

JSON_TYPE = ("Content-Type", "application/json")


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """Error as the ``openai`` client reads it, with the outcome."""

    message: str
    type: str
    code: str
    outcome: str
    request_id: str
    param: str | None = None


class ErrorDocument(msgspec.Struct):
    """Body of an answer to an error."""

    error: ErrorBody


def make_error_document(error: RequestError, request_id: str) -> ErrorDocument:
    """Return the body that answers an error."""
    kind = error.kind.value
    body = ErrorBody(error.reason, kind, kind, error.outcome.value, request_id)
    return ErrorDocument(body)


def make_headers(
    request_id: str, outcome: Outcome | None, closing: bool
) -> list[tuple[str, str]]:
    """Return the headers that each answer carries."""
    headers = [(REQUEST_ID_HEADER, request_id)]
    if outcome is not None:
        headers.append((OUTCOME_HEADER, outcome.value))
    if closing:
        headers.append(("Connection", "close"))
    return headers


async def respond_json(
    exchange: Exchange, status: int, headers: list[tuple[str, str]], document: object
) -> None:
    """Answer with a JSON document."""
    body = document if isinstance(document, bytes) else msgspec.json.encode(document)
    await exchange.respond(status, [JSON_TYPE, *headers], body)


async def respond_error(
    exchange: Exchange, error: RequestError, request_id: str, closing: bool
) -> None:
    """Answer with an error of the closed list."""
    headers = make_headers(request_id, error.outcome, closing)
    if error.retry_after is not None:
        headers.append(("Retry-After", str(error.retry_after)))
    document = make_error_document(error, request_id)
    await respond_json(exchange, error.status, headers, document)
