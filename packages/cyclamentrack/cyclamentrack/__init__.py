"""The kernel of the cyclamentrack cluster scheduler.

It contains the scheduling decisions and the protocols between daemons. It
accesses the platform, workers and peers only through the interfaces in
``ports``.
"""

from cyclamentrack.errors import (
    CyclamentrackError,
    ErrorKind,
    FencedError,
    Problem,
    Ran,
)
from cyclamentrack.membership import Member
from cyclamentrack.node import Node, Platform
from cyclamentrack.placement import register_policy
from cyclamentrack.resources import Resources
from cyclamentrack.tickets import Ticket
from cyclamentrack.work import (
    Answer,
    Kind,
    Stage,
    Urgency,
    Work,
    WorkView,
)

__all__ = (
    'Answer',
    'CyclamentrackError',
    'ErrorKind',
    'FencedError',
    'Kind',
    'Member',
    'Node',
    'Platform',
    'Problem',
    'Ran',
    'Resources',
    'Stage',
    'Ticket',
    'Urgency',
    'Work',
    'WorkView',
    'register_policy',
)
