"""Counts the bytes of control traffic that a daemon sends and receives.

It includes the bodies of calls to the platform and the workers, with an
allowance for their headers, and the messages between daemons.
"""

# Assumed size of the headers of one HTTP request or response.

HEADER_BYTES = 150


class Traffic:
    """Bytes sent and received since the process started."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.received = 0

    def count_call(self, request: bytes, reply: bytes) -> None:
        """Count the bodies and headers of one HTTP call."""
        self.sent += len(request) + HEADER_BYTES
        self.received += len(reply) + HEADER_BYTES

    def count_message(self, *, sent: int = 0, received: int = 0) -> None:
        """Count a message between daemons, in bytes."""
        self.sent += sent
        self.received += received


traffic = Traffic()
