"""Steps about workers that leave as planned while nobody watches them."""

from unittest import mock

import msgspec
from behave import then, when

from cyclamentrack.codec import decode
from cyclamentrack.jobs import owner
from cyclamentrack.jobs.model import WorkerState
from cyclamentrack.jobs.ports import RowKey
from cyclamentrack.jobs.registry import TaskRow

# A draining worker serves for 2 s and a little longer.
_DRAINING_S = 2.1
_SHORTLY_S = 0.5
# An owner gets no answer to several polls meanwhile.
_SILENT_S = 2.0
# An owner learns of a changed entry within this time.
_LISTED_S = 0.4
_UNWATCHED_S = 4.0
_STEP_S = 0.1
_MAX_WAIT_STEPS = 150
_FIRST_SUCCESSOR = 100
_WORKERS_TABLE = 'servers'


@when(
    "all nodes are down while the task's worker leaves as planned and "
    'runs under another id, {times:d} times'
)
def replace_in_the_dark(context, times):
    with mock.patch.object(owner, '_log') as log:
        for number in range(times):
            _leave_in_the_dark(context.jobs, _FIRST_SUCCESSOR + number)
        _wait_for_run(context.jobs)
    context.lines = [
        call.args[0] % call.args[1:] for call in log.info.mock_calls
    ]


@when(
    "all nodes are down while the task's worker leaves as planned and "
    'begins again under its id, {times:d} times'
)
def restart_in_the_dark(context, times):
    for _ in range(times):
        _leave_in_the_dark(context.jobs, None)


@when(
    "the task's worker is silent for {silent:g} seconds soon after its start "
    'and leaves as planned while all nodes are down, {times:d} times'
)
def replace_after_silence(context, silent, times):
    world = context.jobs
    for number in range(times):
        worker = _wait_for_run(world)
        worker.unreachable = True
        world.loop.sleep(silent)
        worker.unreachable = False
        world.loop.sleep(1)
        _leave_in_the_dark(world, _FIRST_SUCCESSOR + number)


@when(
    "the task's worker drains and ends soon after its start and its owner is "
    'killed at once, {times:d} times'
)
def kill_after_leave(context, times):
    world = context.jobs
    for number in range(times):
        worker = _wait_for_run(world)
        entry = worker.entry
        _put_entry(
            world, msgspec.structs.replace(entry, state=WorkerState.DRAINING)
        )
        world.loop.sleep(_LISTED_S)
        worker.vanish()
        world.loop.sleep(_SHORTLY_S)
        name = world.owner()
        world.kill_node(name)
        _replace(world, entry, _FIRST_SUCCESSOR + number)
        world.start_node(name)


@when(
    "the task's worker is silent from soon after its start and leaves as "
    'planned while all nodes are down, {times:d} times'
)
def replace_silent(context, times):
    world = context.jobs
    for number in range(times):
        _wait_for_run(world).unreachable = True
        world.loop.sleep(_SILENT_S)
        _leave_in_the_dark(world, _FIRST_SUCCESSOR + number)


@then('the stored task has lost {worker} unseen')
def check_stored(context, worker):
    rows = context.jobs.rows.rows
    found = [
        task.lost_unseen
        for key, row in rows.items()
        if key.key.startswith(f'{context.job}.0.0')
        for task in decode(row.body, list[TaskRow])
    ]
    assert found == [worker == 'a worker'], found


@then('the log of the owner has "{text}"')
def check_log(context, text):
    assert any(text in line for line in context.lines), context.lines


@when(
    "the list of workers isn't answered while the task's worker leaves as "
    'planned and runs under another id, {times:d} times'
)
def replace_unlisted(context, times):
    for number in range(times):
        _leave_unlisted(context.jobs, _FIRST_SUCCESSOR + number)


@when(
    "the list of workers isn't answered while the task's worker leaves as "
    'planned and begins again under its id, {times:d} times'
)
def restart_unlisted(context, times):
    for _ in range(times):
        _leave_unlisted(context.jobs, None)


def _leave_in_the_dark(world, successor):
    """Let a worker leave while all nodes are down."""
    worker = _wait_for_run(world)
    names = list(world.cells)
    for name in names:
        world.kill_node(name)
    world.loop.sleep(_SHORTLY_S)
    _leave_as_planned(world, worker, successor)
    world.loop.sleep(_UNWATCHED_S - _SHORTLY_S - _DRAINING_S)
    for name in names:
        world.start_node(name)


def _leave_unlisted(world, successor):
    """Let a worker leave while owners can't read the list of workers."""
    worker = _wait_for_run(world)
    world.rows.unanswered_tables.add(_WORKERS_TABLE)
    world.loop.sleep(_SHORTLY_S)
    _leave_as_planned(world, worker, successor)
    world.loop.sleep(_UNWATCHED_S - _SHORTLY_S - _DRAINING_S)
    world.rows.unanswered_tables.clear()
    world.loop.sleep(_SHORTLY_S)


def _wait_for_run(world):
    """Return the worker of the only task, soon after its start."""
    for _ in range(_MAX_WAIT_STEPS):
        for worker in world.workers.workers.values():
            if worker.runs:
                world.loop.sleep(_SHORTLY_S)
                return worker
        world.loop.sleep(_STEP_S)
    raise AssertionError('nothing runs')


def _leave_as_planned(world, worker, successor):
    """Drain a worker, end it, and start the next one of its instance."""
    entry = worker.entry
    _put_entry(
        world, msgspec.structs.replace(entry, state=WorkerState.DRAINING)
    )
    world.loop.sleep(_DRAINING_S)
    incarnation = entry.incarnation + 1
    if successor is None:
        worker.crash(incarnation=incarnation)
        _put_entry(world, worker.entry)
        return
    worker.vanish()
    _replace(world, entry, successor)


def _replace(world, entry, successor):
    async def replace():
        world.rows.remove(_key(entry))
        world.put_replacement(successor, entry)

    world.loop.run(replace)


def _put_entry(world, entry):
    async def put():
        world.rows.put(_key(entry), msgspec.json.encode(entry))

    world.loop.run(put)


def _key(entry):
    return RowKey(_WORKERS_TABLE, '', entry.id)
