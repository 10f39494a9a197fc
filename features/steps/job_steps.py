"""Steps about the job cell."""

import re

import trio
from behave import given, step, then, when

from cyclamentrack.jobs.journal import Journal, OwnershipLostError, head_key
from cyclamentrack.jobs.model import JobState, WorkerState
from cyclamentrack.jobs.ports import Committed, RowKey
from cyclamentrack.jobs.service import Kept
from cyclamentrack_standins.jobrows import MemoryRows
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step
from features.harness.loop import PausedLoop


def _world(context):
    return context.jobs


def _begin(context, world):
    context.jobs = world
    context.add_cleanup(world.close)


@given('a job cell of {nodes:d} nodes and {workers:d} workers')
def start_cell(context, nodes, workers):
    world = JobWorld()
    _begin(context, world)
    world.configure(make_queue('lookups', permits=0.02))
    for number in range(workers):
        world.add_worker(number)
    for number in range(nodes):
        world.start_node(f'n{number}')
    world.loop.sleep(3)
    assert world.owner() is not None


def _submit(context, steps, **changes):
    job, kept = _world(context).submit(*steps, **changes)
    assert kept is Kept.KEPT, kept
    context.job = job


@when('a job of the steps "{text}" is submitted')
def submit_steps(context, text):
    _submit(context, _steps(text))


@when('a job of the steps "{text}" is submitted through the last node')
def submit_through_last(context, text):
    _submit(context, _steps(text), node=list(_world(context).services)[-1])


@when('a job of the steps "{text}" of {work:g} seconds is submitted')
def submit_long_steps(context, text, work):
    _submit(context, _steps(text), work_s=work)


def _steps(text):
    steps = []
    for part in text.split(', '):
        found = re.fullmatch(r'(\d+)(?: after (\d+))?', part)
        after = (int(found[2]),) if found[2] else ()
        steps.append(make_step(int(found[1]), after=after))
    return steps


@when('a gang of {count:d} tasks is submitted')
def submit_gang(context, count):
    _submit(context, [make_step(count, gang=True, cores=6)])


@when('a job whose tasks fail {times:d} times is submitted')
def submit_failing(context, times):
    _submit(context, [make_step(2)], fails=times)


@when('a job of lasting tasks is submitted')
def submit_lasting(context):
    _submit(context, [make_step(3, lasting=True, may_miss=1)])


@step('{seconds:g} seconds go by')
@step('{seconds:g} second goes by')
def let_pass(context, seconds):
    _world(context).loop.sleep(seconds)


@when('the job is cancelled')
def cancel_job(context):
    assert _world(context).cancel(context.job) is Kept.KEPT


@when('every worker begins a new life')
def restart_workers(context):
    world = _world(context)
    for number, worker in enumerate(list(world.workers.workers.values())):
        worker.crash(life=2)
        world.add_worker(number, life=2)


@when('the owner is killed')
def kill_owner(context):
    world = _world(context)
    world.kill_node(world.owner())


@given('{count:d} starts are carried out late by every worker')
def make_late(context, count):
    for worker in _world(context).workers.workers.values():
        worker.carry_out_late = count


@when('every worker but one falls silent')
def silence_workers(context):
    for worker in list(_world(context).workers.workers.values())[1:]:
        worker.silent = True


@when('the store goes down in {seconds:g} seconds')
def lose_store_soon(context, seconds):
    world = _world(context)
    world.loop.sleep(seconds)
    world.rows.down = True


@when('the store is back')
def restore_store(context):
    _world(context).rows.down = False


@given('the next {count:d} replies of the store are lost')
def lose_replies(context, count):
    _world(context).rows.lose_replies = count


@given('the next {count:d} writes are carried out late')
def delay_writes(context, count):
    _world(context).rows.late_writes = count


@when("the store's history is dropped")
def drop_history(context):
    _world(context).rows.drop_history()


@given('the store turns the last node away')
def refuse_last(context):
    world = _world(context)
    world.rows.refusing.add(list(world.services)[-1])


@when('the store turns the owner away')
def refuse_owner(context):
    world = _world(context)
    context.former = world.owner()
    world.rows.refusing.add(context.former)


@then('another node owns the pool')
def check_succeeded(context):
    owners = [
        name
        for name, cell in _world(context).cells.items()
        if POOL in cell.owners and name != context.former
    ]
    assert owners, 'nobody else owns it'


@when('every worker but one drains')
def drain_workers(context):
    world = _world(context)
    for number in range(1, len(world.workers.workers)):
        world.add_worker(number, state=WorkerState.DRAINING)


@then('the job is shown as "{state}" by every node')
def check_state(context, state):
    world = _world(context)
    for node in world.services:
        shown = world.state(context.job, node=node)
        assert shown is JobState(state), (node, shown)


@then("the workers' record is clean")
def check_record(context):
    assert _world(context).workers.broken == []


@then('all its starts came within {seconds:g} seconds')
def check_together(context, seconds):
    times = [at for at, *_ in _world(context).workers.starts]
    assert max(times) - min(times) < seconds, times


@then('each of its tasks was started {times:d} times at most')
@then('each of its tasks was started {times:d} time at most')
def check_starts(context, times):
    counts = {}
    for _, task, _, _ in _world(context).workers.starts:
        counts[task] = counts.get(task, 0) + 1
    assert max(counts.values()) <= times, counts


@then('no worker runs anything')
def check_idle(context):
    for worker in _world(context).workers.workers.values():
        assert not worker.runs, worker.entry.id


@then('all of its tasks run')
def check_running(context):
    workers = _world(context).workers.workers.values()
    assert sum(len(worker.runs) for worker in workers) == 3


@then('all of its tasks run on the worker that stays')
def check_moved(context):
    workers = list(_world(context).workers.workers.values())
    assert len(workers[0].runs) == 3, [len(one.runs) for one in workers]


class _SlowClient:
    def __init__(self, rows):
        self._rows = rows

    async def commit(self, batch):
        await trio.sleep(1)
        return self._rows.apply(batch)


class _JournalWorld:
    def __init__(self):
        self.loop = PausedLoop(seed=1)
        self.rows = MemoryRows()
        self.journal = None
        self.lost = False
        self.kept_at = None
        self.loop.run(self._begin)

    def close(self):
        self.loop.close()

    async def _begin(self):
        self.journal = Journal(
            store=_SlowClient(self.rows), part='p', owner='me', version=0
        )
        self.loop.nursery.start_soon(self._run)

    async def _run(self):
        try:
            await self.journal.run()
        except OwnershipLostError:
            self.lost = True

    async def put(self, name):
        self.journal.put(RowKey('journal', 'p', name), b'x')

    async def watch(self):
        async def wait():
            await self.journal.flushed()
            self.kept_at = RowKey('journal', 'p', 'b') in self.rows.rows

        self.loop.nursery.start_soon(wait)


@given('a journal whose store takes 1 second for a commit')
def start_journal(context):
    _begin(context, _JournalWorld())


@when('row "a" is put, then "b" while the first commit is under way')
def put_two(context):
    world = _world(context)
    world.loop.run(world.put, 'a')
    world.loop.sleep(0.5)
    world.loop.run(world.put, 'b')
    world.loop.run(world.watch)


@when('"b" is put again before that commit ends')
def put_again(context):
    world = _world(context)
    world.loop.run(world.put, 'b')


@when('row "{name}" is put')
def put_row(context, name):
    world = _world(context)
    world.loop.run(world.put, name)


@then('the wait for "b" ends only after "b" is kept')
def check_wait(context):
    world = _world(context)
    world.loop.sleep(5)
    assert world.kept_at is True, world.kept_at


@when('another owner replaces the head row')
def replace_head(context):
    world = _world(context)

    async def replace():
        answer = world.rows.apply(_head_batch())
        assert isinstance(answer, Committed)

    world.loop.run(replace)


def _head_batch():
    from cyclamentrack.codec import encode  # noqa: PLC0415
    from cyclamentrack.jobs.journal import Head  # noqa: PLC0415
    from cyclamentrack.jobs.ports import Batch  # noqa: PLC0415

    body = encode(Head(owner='other', number=0))
    return Batch(puts=((head_key('p'), body),))


@then('the journal says that its slice is lost')
def check_lost(context):
    world = _world(context)
    world.loop.sleep(3)
    assert world.lost
