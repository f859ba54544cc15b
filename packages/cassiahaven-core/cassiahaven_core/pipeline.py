"""Order of the requests on one caller's connection."""

from collections import OrderedDict

MAX_REQUESTS = 16
MAX_BODY_BYTES = 262_144


class Pipeline:
    """Requests of a connection that have been read and not answered yet, in their order.

    Handles callers that send further requests before the first is answered: these run side by
    side within a bound, and their answers go out in the order of the requests. An answer that
    closes the connection ends the pipeline; callers send the requests behind it again.

    Attributes:
        is_closed: Whether no further request is read and no further answer is sent.
    """

    __slots__ = ("is_closed", "_body_bytes_by_number", "_last_number", "_is_ending")

    def __init__(self) -> None:
        self.is_closed = False
        self._body_bytes_by_number: OrderedDict[int, int] = OrderedDict()
        self._last_number = 0
        self._is_ending = False

    @property
    def is_empty(self) -> bool:
        """Return whether every request that was read is answered."""
        return not self._body_bytes_by_number

    @property
    def is_open(self) -> bool:
        """Return whether a request may still follow those that were read."""
        return not self.is_closed and not self._is_ending

    def may_read(self, *, is_stopping: bool) -> bool:
        """Return whether to read another request.

        Args:
            is_stopping: Whether the entry stops; then the requests that were read are the last.
        """
        if not self.is_open:
            return False
        if self.is_empty:
            return True
        if is_stopping or len(self._body_bytes_by_number) >= MAX_REQUESTS:
            return False
        return sum(self._body_bytes_by_number.values()) < MAX_BODY_BYTES

    def add(self, *, is_last: bool = False) -> int:
        """Add a request and return its number.

        Args:
            is_last: Whether the caller asked to close the connection after its answer.
        """
        self._last_number += 1
        self._body_bytes_by_number[self._last_number] = 0
        self._is_ending |= is_last
        return self._last_number

    def record_body(self, number: int, size: int) -> None:
        """Record the size of a request's body, which is kept in memory."""
        if number in self._body_bytes_by_number:
            self._body_bytes_by_number[number] = size

    def is_first(self, number: int) -> bool:
        """Return whether all requests before ``number`` are answered."""
        return next(iter(self._body_bytes_by_number), None) == number

    def end_at(self, number: int) -> bool:
        """End the pipeline with the answer to ``number``, if no request was read after it.

        Returns:
            Whether the answer is the last one on the connection.
        """
        if number != self._last_number:
            return False
        self._is_ending = True
        return True

    def end(self) -> None:
        """End the pipeline with the answer to the last request that was read."""
        self._is_ending = True
        if self.is_empty:
            self.close()

    def finish(self, number: int, *, closes: bool) -> None:
        """Record that the answer to ``number`` was sent.

        Args:
            number: The request.
            closes: Whether the answer closes the connection.
        """
        self._body_bytes_by_number.pop(number, None)
        if closes or (self._is_ending and self.is_empty):
            self.close()

    def close(self) -> None:
        """End the pipeline: the caller left, or an answer closed the connection."""
        self.is_closed = True
        self._body_bytes_by_number.clear()
