"""Events of works, as stored in the journal."""

import msgspec

from cyclamentrack.ids import WorkId
from cyclamentrack.messages import Site
from cyclamentrack.work import Outcome, Work


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag='accepted'):
    """Work was accepted; once durable, it is never lost."""

    work: Work


class PlacedTask(msgspec.Struct, frozen=True, array_like=True):
    """One task of an intent: its index, attempt number and site."""

    task: int
    attempt: int
    site: Site


class Placed(msgspec.Struct, frozen=True, kw_only=True, tag='placed'):
    """Intent to start attempts; durable before any start is sent."""

    work: WorkId
    tasks: list[PlacedTask]


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag='ended'):
    """An attempt ended."""

    work: WorkId
    task: int
    attempt: int
    outcome: Outcome
    answer: str = ''


class Cancelled(msgspec.Struct, frozen=True, kw_only=True, tag='cancelled'):
    """The caller, an operator or a deadline cancelled the work."""

    work: WorkId
    reason: str


Event = Accepted | Placed | Ended | Cancelled


def work_of(event: Event) -> WorkId:
    """Return the id of the work that an event belongs to."""
    match event:
        case Accepted(work=work):
            return work.id
        case Placed(work=work_id) | Ended(work=work_id):
            return work_id
        case Cancelled(work=work_id):
            return work_id
