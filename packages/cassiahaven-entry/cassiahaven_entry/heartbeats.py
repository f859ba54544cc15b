"""Heartbeats that an entry sends to its subscribers each second."""

from collections.abc import Callable

import eventlet

from cassiahaven_core.peer_message import Heartbeat, Introduction, PeerMessage
from cassiahaven_core.steering import EntryAddress
from cassiahaven_entry.clock import MS_PER_S
from cassiahaven_entry.service_task import ServiceTask
from cassiahaven_entry.tables import Tables

HEARTBEAT_INTERVAL_MS = 1000.0
SMALLEST_DEMAND_PER_S = 0.1


class Heartbeats:
    """Publish this entry's address, changed table revisions and demand to subscribers.

    Args:
        own_address: Returns the address that this entry announces to its peers.
        tables: Active service tables.
        task_by_service: Tasks of the services, by name.
        publish: Sends a message to all subscribers.
    """

    def __init__(
        self,
        own_address: Callable[[], EntryAddress],
        tables: Tables,
        task_by_service: dict[str, ServiceTask],
        publish: Callable[[PeerMessage], None],
    ) -> None:
        self._own_address = own_address
        self._tables = tables
        self._task_by_service = task_by_service
        self._publish = publish
        self._published_address = own_address()
        self._published_revisions: dict[str, int] = {}

    def run(self) -> None:
        """Send a heartbeat each second."""
        while True:
            self.introduce_if_changed()
            current = self._tables.revision_by_service
            changed = dict(current.items() - self._published_revisions.items())
            self._publish(self._heartbeat(changed))
            self._published_revisions = current
            eventlet.sleep(HEARTBEAT_INTERVAL_MS / MS_PER_S)

    def introduce_if_changed(self) -> None:
        """Publish the address at once if the key prefix or the draining state changed."""
        own = self._own_address()
        if own != self._published_address:
            self._publish(Introduction(own))
            self._published_address = own

    def introduction(self) -> Introduction:
        """Return the message that introduces this entry."""
        return Introduction(self._own_address())

    def full_heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the revisions of all tables."""
        return self._heartbeat(self._tables.revision_by_service)

    def _heartbeat(self, revision_by_service: dict[str, int]) -> Heartbeat:
        demand = {
            name: round(task.demand_per_s, 1)
            for name, task in self._task_by_service.items()
            if task.demand_per_s >= SMALLEST_DEMAND_PER_S
        }
        return Heartbeat(self._tables.digest, revision_by_service, demand)
