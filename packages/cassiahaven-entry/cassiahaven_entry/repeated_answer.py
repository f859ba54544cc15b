"""A second answer to the same request, within the body of the first one."""

import re

LONGEST_HEAD_BYTES = 8192  # up to the request's id
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] +[0-9]{3}")
BLANK_LINE = b"\r\n\r\n"
HEAD_START = b"HTTP/1."
MOST_STARTS = 8  # in a body that quotes responses, only the last ones are looked at
# A head up to any byte behind ``HEAD_START``, without the blank line that ends it.
PARTIAL_HEAD = re.compile(
    rb"HTTP/1\.(?:[0-9](?: (?:[1-5](?:[0-9](?:[0-9](?: [^\r\n]*)?)?)?)?)?)?\r?"
    rb"|HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\r\n]*)?\r\n"
    rb"(?:[!-9;-~]+:[^\r\n]*\r\n)*(?:[!-9;-~]+(?::[^\r\n]*)?)?\r?"
)


def ends_within_head(data: bytes) -> bool:
    """Return whether ``data`` ends with the first bytes of a head that may continue."""
    starts = list(re.finditer(re.escape(HEAD_START), data))[-MOST_STARTS:]
    if any(PARTIAL_HEAD.fullmatch(data, found.start()) for found in starts):
        return True
    return any(data.endswith(HEAD_START[:size]) for size in range(1, len(HEAD_START)))


class RepeatedAnswer:
    """Find the head of an answer to the same request within a body.

    Args:
        request_id: Id of the request, a header's value in the head of its answer.
    """

    __slots__ = ("_id", "_last")

    def __init__(self, request_id: str) -> None:
        self._id = request_id.encode("latin-1")
        self._last = b""

    def begins_in(self, part: bytes, behind: bytes = b"") -> bool:
        """Return whether such a head begins in the body up to the end of its next part.

        Args:
            part: The next part of the body.
            behind: Bytes behind the body; the head may begin before and end in them.
        """
        body = self._last + part
        self._last = body[-LONGEST_HEAD_BYTES:]
        text = body + behind
        if self._id not in text:
            return False
        for named in re.finditer(rb":[ \t]*" + re.escape(self._id), text):
            at = named.start()
            head = text[max(0, at - LONGEST_HEAD_BYTES) : at].rpartition(BLANK_LINE)[2]
            found = STATUS_LINE.search(head)
            if found and at - len(head) + found.start() < len(body):
                return True
        return False
