"""Identifier types, so that one kind of id is never passed for another."""

from typing import NewType

DaemonId = NewType('DaemonId', str)
"""Name of a daemon process, unique in the cell."""

Incarnation = NewType('Incarnation', str)
"""One life of a daemon process; a restarted daemon gets another."""

WorkerId = NewType('WorkerId', str)
"""Name of a worker as the platform's instance list gives it."""

BootId = NewType('BootId', str)
"""One life of a worker; a worker that restarted has forgotten its tasks."""

WorkId = NewType('WorkId', str)
"""Id of a piece of work, chosen by the caller."""

AttemptId = NewType('AttemptId', str)
"""One try at running one task: ``work#task#attempt``."""

PartitionId = NewType('PartitionId', int)
"""Number of a partition, from zero."""

Epoch = NewType('Epoch', int)
"""Ownership counter of a partition; a higher epoch fences a lower one."""

TeamName = NewType('TeamName', str)
"""Name of a team that submits work and holds a quota."""

PoolName = NewType('PoolName', str)
"""Name of an upstream service whose workers form one pool."""

TicketNumber = NewType('TicketNumber', int)
"""Number of a change ticket, chosen by the operator."""

Revision = NewType('Revision', int)
"""Position of an accepted ticket in the cell's order of changes."""

_LOOKUP_MARK = '#lookup#'


def attempt_id(*, work: WorkId, task: int, attempt: int) -> AttemptId:
    """Build the id of one attempt.

    >>> attempt_id(work=WorkId('night-export'), task=0, attempt=1)
    'night-export#0#1'
    """
    return AttemptId(f'{work}#{task}#{attempt}')


def split_attempt(attempt: AttemptId) -> tuple[WorkId, int, int]:
    """Return the work, task index and attempt number of an attempt id."""
    work, task, number = attempt.rsplit('#', 2)
    return WorkId(work), int(task), int(number)


def lookup_id(*, work: WorkId, number: int) -> AttemptId:
    """Build the id under which a lookup holds its slot."""
    return AttemptId(f'{work}{_LOOKUP_MARK}{number}')


def is_lookup(attempt: AttemptId) -> bool:
    """Tell whether an id is that of a lookup and not of a task's attempt."""
    return _LOOKUP_MARK in attempt
