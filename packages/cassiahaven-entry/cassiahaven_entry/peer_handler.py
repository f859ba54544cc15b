"""Constants and interfaces shared by both ends of a peer link."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from websockets.exceptions import WebSocketException

from cassiahaven_core.idempotency import PeerReply
from cassiahaven_core.peer_message import (
    Encoded,
    Heartbeat,
    KeyQuestion,
    KeyReply,
    PeerMessage,
    RevisionsRequest,
    TableRequest,
    TableRows,
)

OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
LARGEST_MESSAGE_BYTES = 8_388_608
CLUSTER_HEADER = "Cassiahaven-Cluster"
CONNECTION_ERRORS = (OSError, WebSocketException, EOFError, TimeoutError)


class PeerSubscribers(ABC):
    """Handle the messages of subscribers, the peers that connected to this entry."""

    @abstractmethod
    def greeting(self) -> list[PeerMessage]:
        """Return the messages for a new subscriber."""

    @abstractmethod
    def receive(self, connection: str, message: PeerMessage) -> list[PeerMessage | Encoded]:
        """Handle a message and return the replies."""

    @abstractmethod
    def on_disconnected(self, connection: str) -> None:
        """Handle the end of a connection."""


class PeerHandler(PeerSubscribers):
    """Dispatch the messages of peers to callbacks."""

    __slots__ = ("_greeting", "full_heartbeat", "on_message", "answer_question", "table_rows")

    def __init__(
        self,
        *,
        greeting: Callable[[], list[PeerMessage]],
        full_heartbeat: Callable[[], Heartbeat],
        on_message: Callable[[PeerMessage], None],
        answer_question: Callable[[KeyQuestion], PeerReply],
        table_rows: Callable[[str], TableRows],
    ) -> None:
        self._greeting = greeting
        self.full_heartbeat = full_heartbeat
        self.on_message = on_message
        self.answer_question = answer_question
        self.table_rows = table_rows

    def greeting(self) -> list[PeerMessage]:
        """Return the messages for a new subscriber."""
        return self._greeting()

    def receive(self, connection: str, message: PeerMessage) -> list[PeerMessage]:
        """Handle a message and return the replies."""
        match message:
            case KeyQuestion(question=question):
                return [KeyReply(question, self.answer_question(message))]
            case RevisionsRequest():
                return [self.full_heartbeat()]
            case TableRequest(service=service):
                return [self.table_rows(service)]
        self.on_message(message)
        return []

    def on_disconnected(self, connection: str) -> None:
        """Ignore the end of a connection; outgoing links determine which peers are live."""
