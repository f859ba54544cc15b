"""Numbered log events."""

from enum import Enum
from typing import Any

from eliot import log_message


class LogEvent(Enum):
    """Number of each log event; ``docs/events.md`` explains them."""

    ENTRY_STARTED = "CH-101"
    ENTRY_STOPPING = "CH-102"
    ENTRY_STOPPED = "CH-103"
    SETTINGS_RELOADED = "CH-104"
    SETTINGS_INVALID = "CH-105"
    READINESS_CHANGED = "CH-106"
    PEER_CONNECTED = "CH-201"
    PEER_LOST = "CH-202"
    PEER_REJECTED = "CH-203"
    PEER_MESSAGE_MALFORMED = "CH-204"
    LIVE_ENTRIES_CHANGED = "CH-205"
    STORE_UNAVAILABLE = "CH-301"
    STORE_AVAILABLE = "CH-302"
    STORED_TABLE_MALFORMED = "CH-303"
    VM_LIST_UNAVAILABLE = "CH-304"
    STORE_HISTORY_GONE = "CH-305"
    STORE_ENTRY_MALFORMED = "CH-306"
    STORE_WATCH_UNANSWERED = "CH-307"
    CONFIGURATION_IN_FORCE = "CH-405"
    CONFIGURATION_ROW_REJECTED = "CH-406"
    ENDPOINTS_CHANGED = "CH-503"
    ENDPOINTS_KEPT = "CH-504"
    TABLE_CHANGED = "CH-401"
    EDIT_ACCEPTED = "CH-402"
    EDIT_CONFLICT = "CH-403"
    OPERATOR_REJECTED = "CH-404"
    ENDPOINT_STATUS_CHANGED = "CH-501"
    CRASH_RECORDED = "CH-502"
    RATE_LIMIT_CHANGED = "CH-505"
    RATE_LIMIT_UNREADABLE = "CH-506"
    ENDPOINT_LEAVING = "CH-507"
    ENDPOINT_LEAVING_UPHELD = "CH-508"
    CALL_FAILED_INTERNALLY = "CH-601"
    OPERATOR_REQUEST_FAILED = "CH-602"
    TASK_FAILED = "CH-603"
    REQUEST_REJECTED = "CH-604"
    CALL_ENDED = "CH-605"
    CALL_WITHOUT_ROUTE = "CH-606"
    DIRECTORY_UNANSWERED = "CH-607"
    CALLER_LEFT_EARLY = "CH-608"
    ANSWER_NOT_SENT = "CH-609"
    ANSWER_STREAMED = "CH-610"
    UNEXPECTED_BYTES = "CH-611"
    LINES_DROPPED = "CH-701"


def log(event: LogEvent, **fields: Any) -> None:
    """Write ``event`` with its fields to the structured log."""
    log_message(message_type=event.value, event=event.name.lower(), **fields)
