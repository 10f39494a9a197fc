"""Steps about the journal of a slice."""

import trio
from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.jobs.journal import (
    Head,
    Journal,
    OwnershipLostError,
    head_key,
)
from cyclamentrack.jobs.ports import (
    Batch,
    Committed,
    RowKey,
    StoreRefusedError,
)
from cyclamentrack_standins.jobrows import MemoryRows
from features.harness.loop import PausedLoop


class _SlowClient:
    def __init__(self, rows):
        self._rows = rows
        self.refuses_all = False

    async def commit(self, batch):
        await trio.sleep(1)
        if self.refuses_all:
            raise StoreRefusedError(status=403, for_good=True)
        self._rows.check_size(batch)
        return self._rows.apply(batch)


class _JournalWorld:
    def __init__(self):
        self.loop = PausedLoop(seed=1)
        self.rows = MemoryRows()
        self.journal = None
        self.lost = False
        self.stored = None
        self.loop.run(self._begin)

    def close(self):
        self.loop.close()

    async def _begin(self):
        self.client = _SlowClient(self.rows)
        self.journal = Journal(
            store=self.client, part='p', owner='me', version=0
        )
        self.loop.nursery.start_soon(self._run)

    async def _run(self):
        try:
            await self.journal.run()
        except OwnershipLostError:
            self.lost = True

    async def put(self, name):
        self.journal.put(RowKey('journal', 'p', name), b'x')

    async def wait_until_flushed(self):
        async def wait():
            await self.journal.flushed()
            self.stored = RowKey('journal', 'p', 'b') in self.rows.rows

        self.loop.nursery.start_soon(wait)


@given('a journal whose store takes 1 second for a commit')
def start_journal(context):
    context.jobs = _JournalWorld()
    context.add_cleanup(context.jobs.close)


@when('row "a" is put, then "b" while the first commit is under way')
def put_two(context):
    world = context.jobs
    world.loop.run(world.put, 'a')
    world.loop.sleep(0.5)
    world.loop.run(world.put, 'b')
    world.loop.run(world.wait_until_flushed)


@when('"b" is put again before that commit ends')
def put_again(context):
    world = context.jobs
    world.loop.run(world.put, 'b')


@when('row "{name}" is put')
def put_row(context, name):
    world = context.jobs
    world.loop.run(world.put, name)


@then('the wait for "b" ends only after "b" is stored')
def check_wait(context):
    world = context.jobs
    world.loop.sleep(5)
    assert world.stored is True, world.stored


@when('another owner replaces the head row')
def replace_head(context):
    world = context.jobs

    async def replace():
        answer = world.rows.apply(_head_batch())
        assert isinstance(answer, Committed)

    world.loop.run(replace)


def _head_batch():
    body = encode(Head(owner='other', number=0))
    return Batch(puts=((head_key('p'), body),))


@then('the journal reports that its slice is lost')
def check_lost(context):
    world = context.jobs
    world.loop.sleep(3)
    assert world.lost


_RECORD = RowKey('journal', 'p', 'job.0.0')
_FINAL_STATE = RowKey('journal', 'p', 'job')


@when(
    'a job with a queued record is closed while {count:d} other rows are queued'
)
def close_job(context, count):
    world = context.jobs
    context.commits = []
    context.waited_until = None

    async def note_commits():
        while not context.commits or _RECORD in context.commits[-1][1]:
            version = world.rows.version
            context.commits.append((version, set(world.rows.rows)))
            while world.rows.version == version:
                await trio.sleep(0.1)

    async def wait():
        await world.journal.flushed()
        context.waited_until = _FINAL_STATE in world.rows.rows

    async def close():
        journal = world.journal
        world.rows.put(_RECORD, b'run 1')
        world.loop.nursery.start_soon(note_commits)
        journal.put(RowKey('journal', 'p', 'first'), b'x')
        await trio.sleep(0.5)
        journal.put(_RECORD, b'run 2')
        world.loop.nursery.start_soon(wait)
        await trio.sleep(0.1)
        for number in range(count):
            journal.put(RowKey('journal', 'p', f'other-{number}'), b'x')
        journal.supersede([_RECORD], key=_FINAL_STATE, body=b'failed')

    world.loop.run(close)
    world.loop.sleep(6)


@then('the store has its records or its final state after each commit')
def check_records(context):
    assert _FINAL_STATE in context.commits[-1][1], context.commits
    assert _RECORD not in context.commits[-1][1], context.commits
    for version, keys in context.commits:
        assert keys & {_RECORD, _FINAL_STATE}, version


@then('the wait for its record ended only after its final state was stored')
def check_waited(context):
    assert context.waited_until is True


@when('{count:d} rows are put, one of them too large')
def put_one_too_large(context, count):
    world = context.jobs
    context.names = {f'r{number}' for number in range(count)}
    world.rows.row_bytes = 100

    async def put():
        for name in sorted(context.names):
            world.journal.put(RowKey('journal', 'p', name), b'x')
        world.journal.put(RowKey('journal', 'p', 'r7'), bytes(101))

    world.loop.run(put)


@when('the store refuses all writes for good during 5 seconds')
def refuse_all(context):
    world = context.jobs
    world.client.refuses_all = True
    world.loop.run(world.put, 'b')
    world.loop.run(world.wait_until_flushed)
    world.loop.sleep(5)
    world.client.refuses_all = False


@then('all other rows are stored')
def check_others(context):
    world = context.jobs
    world.loop.sleep(40)
    stored = {key.key for key in world.rows.rows} - {'head'}
    assert stored == context.names - {'r7'}, stored
