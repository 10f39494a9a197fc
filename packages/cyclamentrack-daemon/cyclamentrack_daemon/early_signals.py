"""Signals before the event loop reads them, and after it has ended.

A process sets these handlers before it imports its libraries, which takes long,
so this module imports none.
"""

import signal
from types import FrameType

ENDING = (signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """Notes the first signal that asks the process to end; ignores SIGHUP."""

    def __init__(self) -> None:
        """Leave the handlers as they are; ``set_up`` sets them."""
        self.ending: signal.Signals | None = None

    def set_up(self) -> None:
        """Set the handlers, which are in force unless others replace them."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in ENDING:
            signal.signal(number, self._note)

    def ignore(self) -> None:
        """Ignore all signals from now on, since the process is ending."""
        for number in ENDING:
            signal.signal(number, signal.SIG_IGN)

    def _note(self, number: int, frame: FrameType | None) -> None:
        del frame
        self.ending = self.ending or signal.Signals(number)
