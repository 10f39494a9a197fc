"""Logging: text for people, or one JSON object per line."""

import io
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from cyclamentrack_daemon.settings import LogFormat, LogSettings

# A process writes so many lines a second at most, a few times what it writes
# at its peak; a share of them is left for warnings and errors.
_LINES_A_SECOND = 600
_INFO_SHARE = 0.8


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One record as JSON."""

    time: float
    level: str
    logger: str
    message: str
    instance: str
    error: str | None = None


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object."""

    def __init__(self, *, instance: str) -> None:
        """Name the instance in each line."""
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        error = None
        if record.exc_info:
            error = self.formatException(record.exc_info)
        line = LogLine(
            time=record.created,
            level=record.levelname,
            logger=record.name,
            message=record.getMessage(),
            instance=self._instance,
            error=error,
        )
        return msgspec.json.encode(line).decode()


class BoundedHandler(logging.Handler):
    """Writes at most so many lines a second, and never waits for a reader.

    What is over the bound is dropped and counted; the next second begins with
    the count. A stream that takes nothing more drops the line as well.
    """

    def __init__(
        self,
        stream: io.TextIOBase,
        *,
        clock: Callable[[], float] = time.monotonic,
        lines_a_second: int = _LINES_A_SECOND,
    ) -> None:
        """Write to a stream; tests give a clock of their own."""
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._most = lines_a_second
        self._second = 0
        self._written = 0
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless the bound of this second is reached."""
        self._turn_second(record)
        share = _INFO_SHARE if record.levelno < logging.WARNING else 1.0
        if self._written >= share * self._most:
            self._dropped += 1
            return
        self._written += 1
        try:
            self._stream.write(f'{self.format(record)}\n')
        except OSError:
            self._dropped += 1

    def _turn_second(self, record: logging.LogRecord) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        dropped = self._dropped
        self._second = second
        self._written = 0
        self._dropped = 0
        if dropped:
            self.emit(_note(record, dropped))


def _note(record: logging.LogRecord, dropped: int) -> logging.LogRecord:
    return logging.LogRecord(
        name=record.name,
        level=logging.WARNING,
        pathname=record.pathname,
        lineno=record.lineno,
        msg='log lines dropped count=%d',
        args=(dropped,),
        exc_info=None,
    )


class DescriptorStream(io.TextIOBase):
    """Text to a file descriptor, which raises rather than waits when full."""

    def __init__(self, descriptor: int) -> None:
        """Switch the descriptor to writes that never wait."""
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line; what a full pipe doesn't take of it is lost."""
        os.write(self._descriptor, text.encode())
        return len(text)


def set_up_logging(settings: LogSettings, *, instance: str) -> None:
    """Send all records to standard error in the format that is set."""
    handler = BoundedHandler(sys.stderr)
    handler.setFormatter(_formatter(settings.format, instance))
    root: Any = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level.value)
    for noisy in ('httpcore', 'websockets', 'hypercorn'):
        logging.getLogger(noisy).setLevel(logging.WARNING)


def _formatter(kind: LogFormat, instance: str) -> logging.Formatter:
    match kind:
        case LogFormat.JSON:
            return JsonFormatter(instance=instance)
        case LogFormat.TEXT:
            return logging.Formatter(
                f'%(asctime)s %(levelname)s {instance} %(name)s: %(message)s',
            )
