"""The active service tables of this entry and their synchronization with the store."""

import json
from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from cassiahaven_core.edge import ObjectStore, StoredObject, StoreUnavailable, VersionedStore
from cassiahaven_core.peer_message import TableRows, revision_digest
from cassiahaven_core.table import Accepted, Conflict, Edit, ServiceTable
from cassiahaven_core.table_codec import table_from_plain, table_to_plain
from cassiahaven_entry.clock import MS_PER_S, now_ms
from cassiahaven_entry.event import LogEvent, log

TABLE_PREFIX = "tables/"
WATCH_WAIT_MS = 5000
STORE_RETRY_DELAY_MS = 300.0
EDIT_TIMEOUT_MS = 4000.0
MAX_LISTED_ROWS = 20  # names in one log line


@dataclass(frozen=True, slots=True)
class EditUndecided:
    """Report an edit that the store did not confirm; it may be retried."""

    detail: str


class Tables:
    """Manage the newest known table of every service.

    Args:
        store: Durable storage of the tables.
        services: Names of all services; more may be added.
        on_change: Called with each table that changed.
        publish: Sends a table's rows to all peers.
    """

    def __init__(
        self,
        store: VersionedStore,
        services: list[str],
        *,
        on_change: Callable[[ServiceTable], None],
        publish: Callable[[TableRows], None],
    ) -> None:
        self.table_by_service = {name: ServiceTable(name) for name in services}
        self.digest = revision_digest({})
        self._store = store
        self._on_change = on_change
        self._publish = publish

    def add_service(self, name: str) -> None:
        """Add an empty table for the service if it has none."""
        self.table_by_service.setdefault(name, ServiceTable(name))

    @property
    def revision_by_service(self) -> dict[str, int]:
        """Return the active table revisions, without services whose table is empty."""
        tables = self.table_by_service.items()
        return {name: table.revision for name, table in tables if table.revision}

    def rows(self, service: str) -> TableRows:
        """Return all rows of ``service`` as a message."""
        table = self.table_by_service.get(service) or ServiceTable(service)
        return TableRows(service, table.revision, dict(table.row_by_name), era=table.era)

    def merge_rows(self, message: TableRows, source: str) -> None:
        """Merge rows from a peer or the store."""
        table = self.table_by_service.get(message.service)
        if table is None:
            return
        before = table.revision
        lost = set(table.lost_row_by_name)
        changed = table.merge(
            message.revision,
            message.row_by_name.items(),
            base_revision=message.base_revision,
            era=message.era,
        )
        if table.revision != before:
            self.digest = revision_digest(self.revision_by_service)
        self._report_lost_rows(table, set(table.lost_row_by_name) - lost, source)
        if not changed:
            return
        log(
            LogEvent.TABLE_CHANGED,
            service=message.service,
            revision=table.revision,
            rows=changed,
            source=source,
        )
        self._on_change(table)

    def _report_lost_rows(self, table: ServiceTable, lost: set[str], source: str) -> None:
        if lost:
            log(
                LogEvent.TABLE_ROWS_LOST,
                service=table.service,
                rows=sorted(lost)[:MAX_LISTED_ROWS],
                lost=len(lost),
                era=table.era,
                source=source,
            )

    def edit(self, service: str, edit: Edit) -> Accepted | Conflict | EditUndecided:
        """Write ``edit`` to the store, then apply it locally and publish it to all peers.

        If the store's response is lost, the table is read back: its history shows by the edit's ID
        whether the edit took effect.
        """
        deadline_ms = now_ms() + EDIT_TIMEOUT_MS
        detail = ""
        while now_ms() < deadline_ms:
            try:
                result, table = self._try_edit(service, edit)
            except StoreUnavailable as error:
                detail = str(error)
                eventlet.sleep(STORE_RETRY_DELAY_MS / MS_PER_S)
                continue
            if result is not None:
                self._report_edit(service, edit, result, table)
                return result
        return EditUndecided(detail)

    def history(self, service: str) -> ServiceTable:
        """Return the store's copy of a table with its history.

        Raises:
            StoreUnavailable: The store did not respond.
        """
        table, _ = self._read(service)
        return table

    def _try_edit(
        self, service: str, edit: Edit
    ) -> tuple[Accepted | Conflict | None, ServiceTable]:
        table, version = self._read(service)
        before = table.revision
        result = table.apply(edit)
        if isinstance(result, Conflict) or table.revision == before:
            return result, table
        value = json.dumps(table_to_plain(table)).encode()
        written = self._store.put(TABLE_PREFIX + service, value, version=version)
        if self._store.era != table.era:
            # The table was read before a restore; reading it back shows what was written.
            return None, table
        return (result if written is not None else None), table

    def _read(self, service: str) -> tuple[ServiceTable, int]:
        stored = self._store.get(TABLE_PREFIX + service)
        if stored is None:
            stored_table, version = ServiceTable(service), 0
        else:
            stored_table, version = table_from_plain(json.loads(stored.value)), stored.version
        stored_table.era = self._store.era
        # A store that lost data must not supersede newer rows that only the entries still hold,
        # unless it says that it was restored: then those rows are lost.
        known = self.table_by_service[service]
        stored_table.merge(known.revision, known.row_by_name.items(), era=known.era)
        return stored_table, version

    def _report_edit(
        self, service: str, edit: Edit, result: Accepted | Conflict, table: ServiceTable
    ) -> None:
        event = LogEvent.EDIT_ACCEPTED if isinstance(result, Accepted) else LogEvent.EDIT_CONFLICT
        log(event, service=service, row=edit.row, edit=edit.edit_id, revision=table.revision)
        message = TableRows(service, table.revision, dict(table.row_by_name), era=table.era)
        self.merge_rows(message, "edit")
        row = table.row_by_name[edit.row]
        if isinstance(result, Accepted) and row.version == table.revision:
            # The edit is the newest change, so peers that are up to date need only its row.
            message = TableRows(
                service, table.revision, {edit.row: row}, table.revision - 1, table.era
            )
        self._publish(message)


class WatchedTables(Tables):
    """Watch the tables in the platform's object store.

    Args:
        store: The platform's object store.
        services: Names of all services.
        on_change: Called with each table that changed.
        publish: Sends a table's rows to all peers.
    """

    def __init__(
        self,
        store: ObjectStore,
        services: list[str],
        *,
        on_change: Callable[[ServiceTable], None],
        publish: Callable[[TableRows], None],
    ) -> None:
        super().__init__(store, services, on_change=on_change, publish=publish)
        self.is_store_available = True
        self._watched_store = store
        self._revision = 0

    def watch_once(self) -> None:
        """Wait for changes in the store and merge them."""
        try:
            result = self._watched_store.watch(
                TABLE_PREFIX, revision=self._revision, wait_ms=WATCH_WAIT_MS
            )
        except StoreUnavailable as error:
            self._set_store_available(False, str(error))
            # A store that lost its data may restart its revisions at zero.
            self._revision = 0
            eventlet.sleep(STORE_RETRY_DELAY_MS / MS_PER_S)
            return
        self._set_store_available(True)
        self._revision = result.revision
        for stored in result.objects:
            self._merge_stored(stored)

    def _merge_stored(self, stored: StoredObject) -> None:
        try:
            table = table_from_plain(json.loads(stored.value))
        except (ValueError, KeyError, TypeError) as error:
            log(LogEvent.STORED_TABLE_MALFORMED, key=stored.key, error=str(error))
            return
        rows = TableRows(table.service, table.revision, table.row_by_name)
        self.merge_rows(rows, "store")

    def _set_store_available(self, is_available: bool, detail: str = "") -> None:
        if is_available == self.is_store_available:
            return
        self.is_store_available = is_available
        event = LogEvent.STORE_AVAILABLE if is_available else LogEvent.STORE_UNAVAILABLE
        log(event, detail=detail)
