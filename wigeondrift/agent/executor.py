"""Executes the actions that the control systems return."""

import logging

from wigeondrift.systems.actions import Actions
from wigeondrift.telemetry.events import Event, log_event
from wigeondrift.wire.endpoint import MessageEndpoint

WARNING_EVENTS = frozenset(
    {Event.TABLE_REFUSED, Event.PLATFORM_LOST, Event.AGENT_LOST, Event.PEER_LOST}
)


def execute_actions(
    actions: Actions, endpoint: MessageEndpoint, logger: logging.Logger
) -> None:
    """Reset connections, send messages and log events, in this order."""
    for address in actions.resets:
        endpoint.disconnect(address)
    for send in actions.sends:
        endpoint.send(send.address, send.message)
    for notice in actions.notices:
        level = logging.WARNING if notice.event in WARNING_EVENTS else logging.INFO
        log_event(
            logger,
            level,
            notice.event,
            subject=notice.subject,
            number=notice.number,
            reason=notice.reason,
        )
