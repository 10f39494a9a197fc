"""Identifier types, so that ids of different kinds can't be mixed up."""

from typing import NewType

DaemonId = NewType('DaemonId', str)
"""Name of a daemon process, unique in the cell."""

Incarnation = NewType('Incarnation', str)
"""Id of one run of a daemon; a restarted or fenced daemon gets a new one."""

WorkerId = NewType('WorkerId', str)
"""Name of a worker in the platform's instance list."""

BootId = NewType('BootId', str)
"""Id of one boot of a worker; a restarted worker has lost its tasks."""

WorkId = NewType('WorkId', str)
"""Id of a piece of work, chosen by the caller."""

AttemptId = NewType('AttemptId', str)
"""Id of one attempt to run a task: ``work#task#attempt``."""

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

_LOOKUP_INFIX = '#lookup#'


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
    """Build the id under which a lookup's slot is allocated."""
    return AttemptId(f'{work}{_LOOKUP_INFIX}{number}')


def is_lookup(attempt: AttemptId) -> bool:
    """Return whether an id belongs to a lookup and not to a task's attempt."""
    return _LOOKUP_INFIX in attempt
