"""What the control systems ask their shell to do."""

from wigeondrift.telemetry.events import Event
from wigeondrift.wire.messages import Message


class Send:
    """Message to be sent.

    Attributes
    ----------
    address : str
        ``host:port`` of the receiver.
    message : Message
    """

    __slots__ = ("address", "message")

    def __init__(self, address: str, message: Message) -> None:
        self.address = address
        self.message = message


class Notice:
    """Event to be logged.

    Attributes
    ----------
    event : Event
    subject : str
        Name of what it is about.
    number : int
        Version, revision or incarnation of the subject.
    reason : str
        Why, if there is more to say.
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
    """Sends, connections to open anew and events to log, in order.

    Attributes
    ----------
    resets : list of str
        Addresses whose connection is given up before anything is sent.
    sends : list of Send
    notices : list of Notice
    """

    __slots__ = ("notices", "resets", "sends")

    def __init__(self) -> None:
        self.resets: list[str] = []
        self.sends: list[Send] = []
        self.notices: list[Notice] = []

    def send(self, address: str, message: Message) -> None:
        """Add a message to be sent."""
        self.sends.append(Send(address, message))

    def notify(
        self, event: Event, subject: str, number: int = 0, reason: str = ""
    ) -> None:
        """Add an event to be logged."""
        self.notices.append(Notice(event, subject, number, reason))
