"""Bytes that a daemon sends and receives for control.

Counted are the bodies of platform and worker calls with an allowance for
their headers, and the messages between daemons.
"""

HEADER_BYTES = 150


class Traffic:
    """Counts bytes since the process started."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.received = 0

    def count_call(self, request: bytes, reply: bytes) -> None:
        """Count one HTTP call."""
        self.sent += len(request) + HEADER_BYTES
        self.received += len(reply) + HEADER_BYTES

    def count_message(self, *, sent: int = 0, received: int = 0) -> None:
        """Count a message between daemons, in bytes."""
        self.sent += sent
        self.received += received


traffic = Traffic()
