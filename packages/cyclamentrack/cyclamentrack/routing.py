"""Routing of callers' requests to the daemons that own their works.

A request may reach any daemon. It is forwarded to the owner, whose whole
answer is returned. Requests carry the caller's id, so a request that got no
answer is sent again under the same id and never runs twice.
"""

import logging
from collections.abc import Callable

import trio

from cyclamentrack import defaults
from cyclamentrack.coordinator import Coordinator
from cyclamentrack.errors import ErrorKind, PeerUnreachableError, Problem, Ran
from cyclamentrack.ids import Incarnation, WorkId
from cyclamentrack.lookups import LookupRunner, no_slot_problem
from cyclamentrack.membership import Member, Membership
from cyclamentrack.messages import (
    Answers,
    CancelWork,
    LookupDone,
    PeerMessage,
    RunLookup,
    ShowWork,
    SubmitWork,
)
from cyclamentrack.ownership import Ownership
from cyclamentrack.peer_capacity import PeerCapacityView
from cyclamentrack.ports import Peers
from cyclamentrack.queue_waits import QueueWaits
from cyclamentrack.work import Answer, Work
from cyclamentrack.works import Works

_log = logging.getLogger(__name__)

_Build = Callable[[list[WorkId]], PeerMessage]

# Pause between two tries; also the least time that a request is given.
_RETRY_INTERVAL_S = 0.1
# Time that a peer's answer may take beyond the request's own deadline.
_CALL_GRACE_S = 1.0
# Peers tried when no slot is free here, and tries of a whole lookup.
_MAX_LOOKUP_PEERS = 3
_MAX_LOOKUP_TRIES = 2


class Router:
    """Serves requests locally or at the daemon that owns the work."""

    def __init__(
        self,
        *,
        works: Works,
        coordinator: Coordinator,
        lookups: LookupRunner,
        ownership: Ownership,
        membership: Membership,
        view: PeerCapacityView,
        peers: Peers,
        queue_waits: QueueWaits,
    ) -> None:
        """Serve works owned here with the given coordinator and lookups."""
        self._works = works
        self._coordinator = coordinator
        self._lookups = lookups
        self._ownership = ownership
        self._membership = membership
        self._view = view
        self._peers = peers
        self._queue_waits = queue_waits

    async def submit(
        self, works: list[Work], deadline_s: float
    ) -> list[Answer]:
        """Accept works at their owners; answers are in the same order."""
        by_id = {work.id: work for work in works}
        until = trio.current_time() + deadline_s

        def build(ids: list[WorkId]) -> PeerMessage:
            left = max(until - trio.current_time(), _RETRY_INTERVAL_S)
            return SubmitWork(
                works=[by_id[work] for work in ids], deadline_s=left
            )

        answers = await self._ask_until_routed(list(by_id), build, until)
        return [answers[work.id] for work in works]

    async def show(self, work: WorkId, wait_s: float) -> Answer:
        """Return a work's state, waiting up to ``wait_s`` for its end."""
        until = trio.current_time() + wait_s

        def build(ids: list[WorkId]) -> PeerMessage:
            left = max(until - trio.current_time(), 0)
            return ShowWork(id=ids[0], wait_s=left)

        answers = await self._ask_until_routed(
            [work], build, until + _CALL_GRACE_S
        )
        return answers[work]

    async def cancel(self, works: list[WorkId]) -> list[Answer]:
        """Cancel works at their owners; answers are in the same order."""
        until = trio.current_time() + defaults.ACCEPT_DEADLINE_S

        def build(ids: list[WorkId]) -> PeerMessage:
            return CancelWork(ids=ids)

        answers = await self._ask_until_routed(works, build, until)
        return [answers[work] for work in works]

    async def lookup(self, work: Work) -> LookupDone:
        """Run a lookup here, or at a peer that probably has a free slot.

        A lookup whose outcome is unknown is tried again until its deadline.
        """
        started = trio.current_time()
        until = started + (work.deadline_s or defaults.LOOKUP_DEADLINE_S)
        done = LookupDone(problem=no_slot_problem(work))
        for _ in range(_MAX_LOOKUP_TRIES):
            done = await self._lookup_once(work, until)
            left = until - trio.current_time()
            if not _is_unsettled(done) or left <= _RETRY_INTERVAL_S:
                break
        if done.problem is None:
            self._queue_waits.end_lookup(started)
        return done

    async def _lookup_once(self, work: Work, until: float) -> LookupDone:
        left = max(until - trio.current_time(), _RETRY_INTERVAL_S)
        done = await self._lookups.run_lookup(work, left / _MAX_LOOKUP_TRIES)
        if done.problem is None or _is_unsettled(done):
            return done
        peers = self._view.candidates(work.pool, work.resources, slots=1)
        for peer in peers[:_MAX_LOOKUP_PEERS]:
            found = await self._lookup_at(peer, work, until)
            if found.problem is None or _is_unsettled(found):
                return found
        return done

    async def _lookup_at(
        self, peer: Incarnation, work: Work, until: float
    ) -> LookupDone:
        member = self._membership.find(peer)
        if member is None:
            return LookupDone(problem=no_slot_problem(work))
        left = max(until - trio.current_time(), _RETRY_INTERVAL_S)
        try:
            reply = await self._peers.call(
                address=member.peer,
                message=RunLookup(work=work, deadline_s=left / 2),
                timeout_s=left / 2 + _RETRY_INTERVAL_S,
            )
        except PeerUnreachableError:
            self._view.forget(peer)
            return LookupDone(problem=_unanswered_problem(work))
        if isinstance(reply, LookupDone):
            return reply
        return LookupDone(problem=no_slot_problem(work))

    async def _ask_until_routed(
        self, works: list[WorkId], build: _Build, until: float
    ) -> dict[WorkId, Answer]:
        """Send a request to the owners of works until a deadline.

        Works that no owner answered for are sent again.
        """
        answers: dict[WorkId, Answer] = {}
        left = works
        while True:
            answers.update(await self._ask_owners(left, build))
            left = _unrouted(answers)
            if not left or trio.current_time() + _RETRY_INTERVAL_S > until:
                return answers
            await trio.sleep(_RETRY_INTERVAL_S)

    async def _ask_owners(
        self, works: list[WorkId], build: _Build
    ) -> dict[WorkId, Answer]:
        """Send each owner its part of a request, concurrently."""
        groups: dict[Incarnation | None, list[WorkId]] = {}
        members: dict[Incarnation, Member] = {}
        for work in works:
            owner = self._ownership.owner(self._works.partition(work))
            if owner is not None:
                members[owner.incarnation] = owner
            groups.setdefault(
                owner.incarnation if owner else None,
                [],
            ).append(work)
        answers: dict[WorkId, Answer] = {}
        async with trio.open_nursery() as nursery:
            for peer, ids in groups.items():
                if peer is None:
                    answers.update(_no_owner_answers(ids))
                    continue
                nursery.start_soon(
                    self._ask_owner,
                    members[peer],
                    ids,
                    build,
                    answers,
                )
        return answers

    async def _ask_owner(
        self,
        owner: Member,
        ids: list[WorkId],
        build: _Build,
        answers: dict[WorkId, Answer],
    ) -> None:
        request = build(ids)
        if self._membership.is_me(owner):
            found = await serve(self._coordinator, request)
        else:
            found = await self._ask_peer(owner, request)
        if found is None or len(found) != len(ids):
            answers.update(_no_owner_answers(ids))
            return
        answers.update({answer.id: answer for answer in found})

    async def _ask_peer(
        self, owner: Member, request: PeerMessage
    ) -> list[Answer] | None:
        try:
            reply = await self._peers.call(
                address=owner.peer,
                message=request,
                timeout_s=_call_timeout_s(request),
            )
        except PeerUnreachableError:
            return None
        return reply.answers if isinstance(reply, Answers) else None


async def serve(
    coordinator: Coordinator, request: PeerMessage
) -> list[Answer] | None:
    """Serve a caller's request at the owner.

    Return ``None`` for a message that isn't a caller's request.
    """
    match request:
        case SubmitWork(works=works, deadline_s=deadline_s):
            return await coordinator.submit(works, deadline_s)
        case ShowWork(id=work, wait_s=wait_s):
            return [await coordinator.show(work, wait_s)]
        case CancelWork(ids=ids):
            return await coordinator.cancel(ids, 'cancelled on request')
    return None


def _call_timeout_s(request: PeerMessage) -> float:
    match request:
        case SubmitWork(deadline_s=deadline_s):
            return deadline_s + _CALL_GRACE_S
        case ShowWork(wait_s=wait_s):
            return wait_s + defaults.PEER_CALL_TIMEOUT_S
    return defaults.ACCEPT_DEADLINE_S


def _unrouted(answers: dict[WorkId, Answer]) -> list[WorkId]:
    """Return the works that no owner answered for."""
    return [
        work
        for work, answer in answers.items()
        if answer.problem and answer.problem.kind is ErrorKind.NO_OWNER
    ]


def _no_owner_answers(works: list[WorkId]) -> dict[WorkId, Answer]:
    problem = Problem(
        kind=ErrorKind.NO_OWNER,
        detail='the owner of the work could not be reached in time',
        remedy='send it again with the same id; it never runs twice',
        ran=Ran.UNKNOWN,
        retry_after_s=1,
    )
    return {work: Answer(id=work, problem=problem) for work in works}


def _is_unsettled(done: LookupDone) -> bool:
    problem = done.problem
    return problem is not None and problem.kind is ErrorKind.UNSETTLED


def _unanswered_problem(work: Work) -> Problem:
    return Problem(
        kind=ErrorKind.UNSETTLED,
        detail=f'the daemon that ran lookup {work.id} did not answer',
        remedy='send it again; a lookup is idempotent',
        ran=Ran.UNKNOWN,
    )
