"""Pages made from the closed lists: docs/ERRORS.md and docs/EVENTS.md.

Run as ``python -m wigeondrift.catalogue`` to write them.
"""

from pathlib import Path

from wigeondrift.errors import ERROR_RESPONSES_BY_KIND
from wigeondrift.telemetry.events import Event

DOCS_DIR = Path(__file__).parent.parent / "docs"

ERRORS_PAGE_HEADER = """\
# Errors

Made by `python -m wigeondrift.catalogue` from `wigeondrift.errors`.

Each answer has the headers `X-Request-Id` and `X-Outcome`, and an error has the body
`{"error": {"message", "type", "code", "outcome", "request_id"}}` where `type` and
`code` are the kind. The outcome is `not-run` only if nothing of the request left for
an upstream, or an upstream refused it before running it; a request may carry a more
exact outcome than its kind's own.

| kind | status | outcome | Retry-After (s) | event |
|---|---|---|---|---|
"""

EVENTS_PAGE_HEADER = """\
# Log events

Made by `python -m wigeondrift.catalogue` from `wigeondrift.telemetry.events`. Each line
of the log is a JSON object with `event` (the number) and `event_name`. A refused
request is logged as event 2000 with its `kind`, whose own number is in ERRORS.md.

| number | name | meaning |
|---|---|---|
"""


def render_errors() -> str:
    """Return the page of the error kinds."""
    lines = []
    for kind, response in ERROR_RESPONSES_BY_KIND.items():
        retry_after = "" if response.retry_after is None else response.retry_after
        lines.append(
            f"| `{kind.value}` | {response.status} | {response.outcome.value} "
            f"| {retry_after} | {response.event} |\n"
        )
    return ERRORS_PAGE_HEADER + "".join(lines)


def render_events() -> str:
    """Return the page of the log events."""
    lines = [
        f"| {int(event)} | `{event.name.lower()}` | {event.description} |\n"
        for event in Event
    ]
    return EVENTS_PAGE_HEADER + "".join(lines)


PAGES_BY_NAME = {"ERRORS.md": render_errors, "EVENTS.md": render_events}


def main() -> None:
    """Write the pages."""
    for name, render in PAGES_BY_NAME.items():
        (DOCS_DIR / name).write_text(render())


if __name__ == "__main__":
    main()
