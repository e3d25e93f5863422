"""I/O requested by the control-plane state machines."""

from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import Message


class Send:
    """Message to send.

    Attributes
    ----------
    address : str
        ``host:port`` of the recipient.
    message : Message
    """

    __slots__ = ("address", "message")

    def __init__(self, address: str, message: Message) -> None:
        self.address = address
        self.message = message


class Notice:
    """Event to log.

    Attributes
    ----------
    event : Event
    subject : str
        Name of the process, instance or address that the event concerns.
    number : int
        Version, revision or incarnation of the subject.
    reason : str
        Reason, if there is one.
    """

    __slots__ = ("event", "number", "reason", "subject")

    def __init__(
        self, event: Event, subject: str, number: int = 0, reason: str = ""
    ) -> None:
        self.event = event
        self.subject = subject
        self.number = number
        self.reason = reason


class Actions:
    """Connections to reset, messages to send and events to log, each in order.

    Attributes
    ----------
    resets : list of str
        Addresses whose connections are reset before any message is sent.
    sends : list of Send
    notices : list of Notice
    """

    __slots__ = ("notices", "resets", "sends")

    def __init__(self) -> None:
        self.resets: list[str] = []
        self.sends: list[Send] = []
        self.notices: list[Notice] = []

    def send(self, address: str, message: Message) -> None:
        """Add a message to send."""
        self.sends.append(Send(address, message))

    def notify(
        self, event: Event, subject: str, number: int = 0, reason: str = ""
    ) -> None:
        """Add an event to log."""
        self.notices.append(Notice(event, subject, number, reason))
