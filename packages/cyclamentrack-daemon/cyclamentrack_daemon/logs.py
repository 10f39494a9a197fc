"""Logging: text for people, or one JSON object per line."""

import logging
import sys
from typing import Any

import msgspec

from cyclamentrack_daemon.settings import LogFormat, LogSettings


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


def set_up_logging(settings: LogSettings, *, instance: str) -> None:
    """Send all records to standard error in the format that is set."""
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
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
