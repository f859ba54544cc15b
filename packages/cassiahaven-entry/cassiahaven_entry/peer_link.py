"""The dialing end of a peer link: it subscribes and sends requests."""

from itertools import count

from eventlet.event import Event

from cassiahaven_core.idempotency import PeerReply, ScopedKey
from cassiahaven_core.peer_message import (
    Heartbeat,
    Introduction,
    KeyQuestion,
    KeyReply,
    PeerMessage,
    RevisionsRequest,
    TableRequest,
    revision_digest,
)
from cassiahaven_core.steering import EntryAddress
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.peer_dialer import PeerDialer
from cassiahaven_entry.peer_handler import PeerHandler

PEER_TIMEOUT_MS = 3500.0


class PeerLink(PeerDialer):
    """Subscribe to one peer and track its state.

    Args:
        name: Name of the peer's VM.
        url: Address of its peer port.
        cluster: Name of the cluster.
        key: Shared key of the peer links.
        handler: Handler of the peer's other messages.
    """

    def __init__(
        self, name: str, url: str, *, cluster: str, key: str, handler: PeerHandler
    ) -> None:
        super().__init__(name, url, cluster=cluster, key=key)
        self.entry: EntryAddress | None = None
        self.revision_by_service: dict[str, int] = {}
        self.demand_by_service: dict[str, float] = {}
        self.last_message_ms = float("-inf")
        self._digest = revision_digest({})
        self._handler = handler
        self._event_by_question: dict[int, Event] = {}
        self._question_numbers = count()

    @property
    def is_live(self) -> bool:
        """Return whether the peer is connected and sent a message recently."""
        return self._connection is not None and now_ms() - self.last_message_ms < PEER_TIMEOUT_MS

    def ask(
        self, scoped: ScopedKey, fingerprint: str, process: str, timeout_ms: float
    ) -> PeerReply | None:
        """Query the peer about an idempotency key; return its reply, ``None`` on timeout."""
        number = next(self._question_numbers)
        question = KeyQuestion(
            number, process, scoped.partner, scoped.service, scoped.key, fingerprint
        )
        event = Event()
        self._event_by_question[number] = event
        try:
            if not self.send(question):
                return None
            return event.wait(timeout=timeout_ms / MS_PER_S)
        finally:
            self._event_by_question.pop(number, None)

    def _on_failure(self, error: Exception) -> None:
        pass

    def _on_connected(self) -> None:
        self.revision_by_service = {}
        self._digest = revision_digest({})

    def _on_disconnected(self) -> None:
        for event in list(self._event_by_question.values()):
            if not event.ready():
                event.send(None)

    def _receive(self, message: PeerMessage) -> None:
        self.last_message_ms = now_ms()
        match message:
            case Introduction(entry=entry):
                self.entry = entry
            case Heartbeat():
                self._apply_update(message)
            case KeyReply(question=question, reply=reply):
                event = self._event_by_question.pop(question, None)
                if event is not None and not event.ready():
                    event.send(reply)
            case _:
                self._handler.on_message(message)

    def _apply_update(self, heartbeat: Heartbeat) -> None:
        self.demand_by_service = heartbeat.demand_by_service
        if heartbeat.revision_by_service:
            self.revision_by_service.update(heartbeat.revision_by_service)
            self._digest = revision_digest(self.revision_by_service)
        if heartbeat.digest != self._digest:
            self.send(RevisionsRequest())
        own = self._handler.full_heartbeat().revision_by_service
        for service, revision in heartbeat.revision_by_service.items():
            if revision > own.get(service, 0):
                self.send(TableRequest(service))
