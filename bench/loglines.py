"""Reads the log lines that a played day prints, in the order of the file."""

import re
from collections.abc import Iterable, Iterator

import msgspec

_LINE = re.compile(r'\s*(-?[\d.]+)\s+(\S+)\s+(\{.*\})\s*$')
_FIELD = re.compile(r'(\w+)=(\S+)')


class _Message(msgspec.Struct):
    message: str


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line: the second of the day, the node and what it logged."""

    at: float
    node: str
    message: str

    @property
    def fields(self) -> dict[str, str]:
        """The ``key=value`` pairs of the message."""
        return dict(_FIELD.findall(self.message))


def log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of a day; lines in another format are skipped."""
    for line in lines:
        found = _LINE.match(line)
        if found is None:
            continue
        try:
            entry = msgspec.json.decode(found[3], type=_Message)
        except msgspec.MsgspecError:
            continue
        yield LogLine(at=float(found[1]), node=found[2], message=entry.message)
