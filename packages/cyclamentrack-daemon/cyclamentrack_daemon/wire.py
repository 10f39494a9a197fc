"""Wire format of the HTTP platform plug-in and of the platform stand-in."""

import msgspec

from cyclamentrack.ports import Instance, Row


class ReadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Rows to read, by key."""

    keys: list[str]


class ReadReply(msgspec.Struct, frozen=True, kw_only=True):
    """The rows, in the order of the keys."""

    rows: list[Row | None]


class ScanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A range of rows by key prefix, starting after a key."""

    prefix: str
    limit: int
    after: str


class ConditionReply(msgspec.Struct, frozen=True, kw_only=True):
    """The key of the row whose condition failed."""

    key: str


class NamesReply(msgspec.Struct, frozen=True, kw_only=True):
    """Object keys in sorted order."""

    names: list[str]


class InstancesReply(msgspec.Struct, frozen=True, kw_only=True):
    """The instance list, empty if the requested version is still current."""

    version: str
    instances: list[Instance] = []


class RefusalReply(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a worker refused a request."""

    reason: str


class LookupReply(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's answer to a lookup."""

    answer: str


HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
HTTP_UNAVAILABLE = 503
