"""Decides until when an owner may extend leases, and when former ones end.

An owner that loses the store can't tell whether another node has claimed its
slice. Some workers are the slice's voters, as recorded in its journal. Without
a confirmation of the store, an owner extends leases only while more than half
of the voters answer it. A successor takes its predecessor for excluded once
half of them have answered the successor. Two such groups share a voter, and
that one refuses the predecessor.
"""

import logging
import math
from collections.abc import Callable, Mapping
from itertools import starmap

import msgspec
import trio

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import InstanceId, WorkerEntry
from cyclamentrack.jobs.records import Claim, Voter

_log = logging.getLogger(__name__)

# For this long after its claim was last confirmed or vouched for, an owner
# extends leases. Three renewals and usually two polls of a worker fit in; where
# polls take longer, leases get shorter by some tenths of a second.
EXTENSION_S = 2.0
# No owner extends leases for longer than this without the store, so that a
# successor waits no longer for voters of which most are lost.
MAX_UNCONFIRMED_S = 30.0


class _Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The latest answer of a worker, and when its call was sent."""

    incarnation: int
    asked_at: float


class LeaseQuorum:
    """The voters of one slice, as one owner sees them.

    ``now`` and all times that are passed in are in seconds of a clock that
    goes on while the machine is suspended; ``extensions_end_at`` is in seconds
    of trio's clock. ``excluded`` is set once half of the voters have left the
    former owner.
    """

    def __init__(
        self, *, claim: Claim, suspended_s: Callable[[], float]
    ) -> None:
        """Start without voters; ``suspended_s`` is the time in suspension."""
        self.excluded = trio.Event()
        self._claim = claim
        self._suspended_s = suspended_s
        self._suspended_at_claim_s = claim.suspended_s
        self._confirmed_at = claim.requested_at
        self._excluded_at: float | None = None
        self._recorded: dict[WorkerId, Voter] | None = None
        self._pending: dict[WorkerId, Voter] | None = None
        self._refused = False
        self._answers: dict[WorkerId, _Answer] = {}
        self._instances: dict[InstanceId, int] = {}

    @property
    def now(self) -> float:
        """The time, including that in which the machine was suspended."""
        suspended_s = self._suspended_s() - self._suspended_at_claim_s
        return trio.current_time() + suspended_s

    @property
    def overdue_s(self) -> float:
        """How long ago this owner's permission to extend leases ended.

        A lease that is given now must end as if it had been given so much
        earlier. It is 0 while the permission lasts.
        """
        now = self.now
        permitted = self._confirmed_at + EXTENSION_S
        if now > permitted:
            vouched_at = min(
                self._vouched_at(),
                self._confirmed_at + MAX_UNCONFIRMED_S - EXTENSION_S,
            )
            permitted = max(permitted, vouched_at + EXTENSION_S)
        return max(now - permitted, 0.0)

    @property
    def extensions_end_at(self) -> float:
        """Time after which no former owner extends a lease any more."""
        latest = self._claim.claimed_at + MAX_UNCONFIRMED_S
        if self._excluded_at is None:
            return latest
        return min(self._excluded_at + EXTENSION_S, latest)

    def confirm(self, requested_at: float) -> None:
        """Record that the store confirmed the claim in answer to a call."""
        self._confirmed_at = max(self._confirmed_at, requested_at)

    def load_voters(self, voters: Mapping[WorkerId, Voter]) -> None:
        """Take over the voters that the former owner has recorded."""
        self._recorded = dict(voters)
        self._check_excluded()

    def note_answer(
        self, worker: WorkerEntry, *, incarnation: int, asked_at: float
    ) -> None:
        """Record that a worker has answered a call with this owner's token."""
        self._answers[worker.id] = _Answer(
            incarnation=incarnation, asked_at=asked_at
        )
        if worker.instance:
            newest = max(self._instances.get(worker.instance, 0), incarnation)
            self._instances[worker.instance] = newest
        self._check_excluded()

    def begin_change(self, voters: Mapping[WorkerId, Voter]) -> bool:
        """Use other voters too, and return whether they are to be recorded.

        Voters of a former owner stay until it can't extend leases any more.
        """
        settled = trio.current_time() > self.extensions_end_at
        if self._pending is not None or not settled:
            return False
        if self._recorded == voters:
            return False
        self._pending = dict(voters)
        return True

    def note_refused(self) -> None:
        """Keep both sets of voters, since the store refuses the new ones."""
        self._refused = True

    def end_change(self) -> None:
        """Use the new voters alone, unless the journal has dropped them."""
        if self._pending is not None and not self._refused:
            self._recorded = self._pending
            self._pending = None

    def _vouched_at(self) -> float:
        """Return when most voters had not been called by a successor yet."""
        if self._recorded is None:
            return -math.inf
        electorates = [self._recorded]
        if self._pending is not None:
            electorates.append(self._pending)
        return min(self._majority_asked_at(one) for one in electorates)

    def _majority_asked_at(self, voters: Mapping[WorkerId, Voter]) -> float:
        asked = sorted(
            starmap(self._asked_at, voters.items()),
            reverse=True,
        )
        return asked[len(asked) // 2] if asked else -math.inf

    def _asked_at(self, name: WorkerId, voter: Voter) -> float:
        """Return when a voter was asked; a later incarnation doesn't count.

        That one has lost the token of a successor that it may have seen.
        """
        answer = self._answers.get(name)
        if answer is None or answer.incarnation != voter.incarnation:
            return -math.inf
        return answer.asked_at

    def _check_excluded(self) -> None:
        if self.excluded.is_set() or self._recorded is None:
            return
        reached = sum(
            starmap(self._has_left_predecessor, self._recorded.items())
        )
        if 2 * reached < len(self._recorded):
            return
        self._excluded_at = trio.current_time()
        self.excluded.set()
        _log.info(
            'former owner excluded pool=%s token=%d after_ms=%d reached=%d '
            'voters=%d',
            self._claim.pool,
            self._claim.token,
            int((self._excluded_at - self._claim.claimed_at) * 1000),
            reached,
            len(self._recorded),
        )

    def _has_left_predecessor(self, name: WorkerId, voter: Voter) -> bool:
        """Return whether a voter obeys this owner, or has ended for good.

        Any answer will do, since a worker's id has one incarnation at a time.
        """
        newest = self._instances.get(voter.instance, 0)
        return name in self._answers or newest > voter.incarnation
