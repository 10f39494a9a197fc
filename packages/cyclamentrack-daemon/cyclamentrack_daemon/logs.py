"""Logging as plain text or as one JSON object per line."""

import io
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from cyclamentrack_daemon.settings import LogFormat, LogSettings

# The limit is a few times the peak rate of a process. Records below WARNING
# may use only _INFO_SHARE of it; the rest is left for warnings and errors.
_MAX_LINES_PER_SECOND = 600
_INFO_SHARE = 0.8


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One log record as JSON; ``time`` is in seconds since the epoch."""

    time: float
    level: str
    logger: str
    message: str
    instance: str
    error: str | None = None


class JsonFormatter(logging.Formatter):
    """Formats each record as one JSON object."""

    def __init__(self, *, instance: str) -> None:
        """Add the instance's name to each line."""
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
    """Writes a limited number of lines per second and never blocks.

    Lines over the limit are dropped and counted, and the next second starts
    with a line that gives the count. A line is also dropped if the stream
    can't take it without blocking.
    """

    def __init__(
        self,
        stream: io.TextIOBase,
        *,
        clock: Callable[[], float] = time.monotonic,
        lines_per_second: int = _MAX_LINES_PER_SECOND,
    ) -> None:
        """Write to a stream; ``clock`` returns seconds and is set by tests."""
        super().__init__()
        self._stream = stream
        self._clock = clock
        self._max_lines = lines_per_second
        self._current_second = 0
        self._lines_written = 0
        self._lines_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless this second's limit is reached."""
        self._start_second(record)
        max_share = _INFO_SHARE if record.levelno < logging.WARNING else 1.0
        if self._lines_written >= max_share * self._max_lines:
            self._lines_dropped += 1
            return
        self._lines_written += 1
        try:
            self._stream.write(f'{self.format(record)}\n')
        except OSError:
            self._lines_dropped += 1

    def _start_second(self, record: logging.LogRecord) -> None:
        second = int(self._clock())
        if second == self._current_second:
            return
        dropped = self._lines_dropped
        self._current_second = second
        self._lines_written = 0
        self._lines_dropped = 0
        if dropped:
            self.emit(_dropped_record(record, dropped))


def _dropped_record(
    record: logging.LogRecord, dropped: int
) -> logging.LogRecord:
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
    """Text stream to a file descriptor that raises instead of blocking."""

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line; the part that doesn't fit in a full pipe is lost."""
        os.write(self._descriptor, text.encode())
        return len(text)


def set_up_logging(settings: LogSettings, *, instance: str) -> None:
    """Send all records to standard error in the configured format."""
    handler = BoundedHandler(sys.stderr)
    handler.setFormatter(_formatter(settings.format, instance))
    root: Any = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(settings.level.value)
    for library in ('httpcore', 'websockets', 'hypercorn'):
        logging.getLogger(library).setLevel(logging.WARNING)


def _formatter(kind: LogFormat, instance: str) -> logging.Formatter:
    match kind:
        case LogFormat.JSON:
            return JsonFormatter(instance=instance)
        case LogFormat.TEXT:
            return logging.Formatter(
                f'%(asctime)s %(levelname)s {instance} %(name)s: %(message)s',
            )
