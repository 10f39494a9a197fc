"""Steps about the decision until when leases are extended."""

import math

import trio
from behave import given, then, when

from cyclamentrack.ids import PoolName, WorkerId
from cyclamentrack.jobs.lease_quorum import LeaseQuorum
from cyclamentrack.jobs.model import InstanceId, Token, WorkerEntry, WorkerState
from cyclamentrack.jobs.records import Claim, Voter
from cyclamentrack.resources import NO_RESOURCES
from features.harness.loop import PausedLoop


class _Owner:
    """An owner's quorum on a paused clock; voters have incarnation 1."""

    def __init__(self, voters):
        self.loop = PausedLoop(seed=1)
        self.suspended_s = 0.0
        self.quorum = self.loop.run(self._create, voters)

    def answer(self, name, *, incarnation=1, instance=None):
        self.loop.run(self._answer, name, incarnation, instance or f'm-{name}')

    async def _create(self, voters):
        now = trio.current_time()
        quorum = LeaseQuorum(
            claim=Claim(
                pool=PoolName('booking'),
                id='n0/1',
                token=Token(1),
                requested_at=now,
                claimed_at=now,
            ),
            suspended_s=lambda: self.suspended_s,
        )
        if voters is not None:
            quorum.load_voters(_voters(voters))
        return quorum

    async def _answer(self, name, incarnation, instance):
        entry = WorkerEntry(
            id=WorkerId(name),
            pool=PoolName('booking'),
            address=f'{name}:80',
            zone='z',
            capacity=NO_RESOURCES,
            labels=(),
            state=WorkerState.READY,
            incarnation=incarnation,
            instance=InstanceId(instance),
        )
        self.quorum.note_answer(
            entry, incarnation=incarnation, asked_at=self.quorum.now
        )


def _voters(names):
    return {WorkerId(name): Voter(1, InstanceId(f'm-{name}')) for name in names}


def _begin(context, voters):
    context.owner = _Owner(voters)
    context.add_cleanup(context.owner.loop.close)


@given('an owner whose voters are w0 to w{last:d}')
def begin_owner(context, last):
    _begin(context, [f'w{number}' for number in range(last + 1)])


@given('an owner whose voters are not known')
def begin_without_voters(context):
    _begin(context, None)


@when('{seconds:g} seconds go by for the owner')
def let_pass(context, seconds):
    context.owner.loop.sleep(seconds)


@when("the owner's machine is suspended for {seconds:g} seconds")
def suspend(context, seconds):
    context.owner.suspended_s += seconds


@when('{names} answer the owner')
@when('{names} answers the owner')
def answer(context, names):
    for name in names.split(','):
        context.owner.answer(name)


@when('an answer comes from a later incarnation of {name}')
def answer_later(context, name):
    context.owner.answer(name, incarnation=2)


@when('the instance of {former} runs {name}, which answers')
def answer_replacement(context, name, former):
    context.owner.answer(name, incarnation=2, instance=f'm-{former}')


def _change(context, names):
    owner = context.owner

    async def begin():
        return owner.quorum.begin_change(_voters(names.split(',')))

    return owner.loop.run(begin)


@when('the owner begins to record {names} as voters')
def begin_change(context, names):
    assert _change(context, names)


@when("the store refuses the owner's record of voters")
def refuse_change(context):
    context.owner.quorum.note_refused()
    context.owner.quorum.end_change()


@then("the owner can't record {names} as voters")
def check_no_change(context, names):
    assert not _change(context, names)


def _read(context, name):
    async def read():
        return getattr(context.owner.quorum, name)

    return context.owner.loop.run(read)


@then('the owner may extend leases')
def check_permitted(context):
    assert _read(context, 'overdue_s') == 0


@then("the owner's permission has ended {seconds:g} seconds ago")
def check_overdue(context, seconds):
    found = _read(context, 'overdue_s')
    assert math.isclose(found, seconds, abs_tol=0.01), found


@then('former leases are extended for up to {seconds:g} more seconds')
def check_former(context, seconds):
    found = _read(context, 'extensions_end_at') - _read(context, 'now')
    assert math.isclose(found, seconds, abs_tol=0.01), found
