"""Steps about members whose machines were removed for good."""

from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.jobs.model import JobState
from cyclamentrack.jobs.records import MEMBERS, Member, member_key
from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import POOL, JobWorld, make_queue, make_step

_WORKERS = 6
_SLOW_S = 0.16
_SETTLED_S = 3.0


@given(
    'a cell of {live:d} nodes beside the rows of {gone:d} members that are gone'
)
def start_beside_gone(context, live, gone):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    world.permit_service.decide_s = _SLOW_S
    world.configure(
        make_queue('short', permits=0.01),
        make_queue('long', priority=1, permits=_SLOW_S),
    )
    context.gone = [f'{"az"[number % 2]}{number:02}' for number in range(gone)]

    async def register():
        for name in context.gone:
            member = Member(node=name, incarnation='1', address=name, zone='z')
            world.rows.put(member_key(name), encode(member))

    world.loop.run(register)
    for number in range(_WORKERS):
        world.add_worker(number)
    for number in range(live):
        world.start_node(f'n{number}')
    context.live = sorted(world.cells)
    world.loop.sleep(_SETTLED_S)


@when('a job is submitted that needs a slow permit decision')
def submit_slow(context):
    step = make_step(2)
    world = context.jobs
    job, outcome = world.submit(step, queue='long', node=world.owner())
    context.job = job
    assert outcome is RequestOutcome.STORED, outcome


@when('{count:d} nodes other than the owner become unreachable')
def part_some(context, count):
    world = context.jobs
    for name in sorted(set(world.cells) - {world.owner()})[:count]:
        world.links.isolate(name)


@when(
    'the store answers nobody for {seconds:g} seconds while 2 nodes are killed'
)
def kill_without_store(context, seconds):
    world = context.jobs
    world.rows.down = True
    for name in sorted(set(world.cells) - {world.owner()})[:2]:
        world.kill_node(name)
    world.loop.sleep(seconds)
    world.rows.down = False


@then('the owner shows the job as "{state}"')
def check_shown(context, state):
    world = context.jobs
    shown = world.state(context.job, node=world.owner())
    assert shown is JobState(state), shown


@when('the store refuses one node')
def refuse_one(context):
    world = context.jobs
    # The next members after it by name are all gone.
    context.refused = max(set(world.cells) - {world.owner()})
    world.rows.refused_nodes.add(context.refused)


@then('a job that is submitted to that node is accepted within 1 second')
def check_accepted(context):
    world = context.jobs
    before = world.loop.run(world.now)
    _, outcome = world.submit(make_step(1), queue='short', node=context.refused)
    assert outcome is RequestOutcome.STORED, outcome
    waited_s = world.loop.run(world.now) - before
    assert waited_s < 1, waited_s


@when('the owner leaves')
def leave_owner(context):
    world = context.jobs
    context.former = world.owner()
    world.loop.run(world.cells[context.former].hand_over)
    world.kill_node(context.former)


@then('another node owns the slice')
def check_owner(context):
    owner = context.jobs.owner(POOL)
    assert owner not in {None, context.former}, owner


@then('no row of the former owner is left')
def check_no_row(context):
    assert member_key(context.former) not in context.jobs.rows.rows


@then('the members on each node are the 6 live nodes')
def check_members(context):
    for cell in context.jobs.cells.values():
        assert sorted(cell.members) == context.live, sorted(cell.members)


@when(
    '{count:d} nodes are cut off from their peers, but not from the store, '
    'for {seconds:g} seconds'
)
def part_peers(context, count, seconds):
    world = context.jobs
    cut_off = set(sorted(world.cells)[:count])
    connected = world.links.connected
    context.writes = {}

    def connected_to(first, second):
        if {first, second} <= set(context.live):
            return (first in cut_off) == (second in cut_off)
        return connected(first, second)

    def count_writes(batch):
        for key, _ in batch.puts:
            if key.table == MEMBERS:
                number = context.writes.get(key.key, 0)
                context.writes[key.key] = number + 1

    world.rows.on_commit = count_writes
    world.links.connected = connected_to
    world.loop.sleep(seconds)
    world.links.connected = connected
    world.rows.on_commit = None


@then('the row of each live node was written {times:d} times at most')
def check_writes(context, times):
    written = {name: context.writes.get(name, 0) for name in context.live}
    assert max(written.values()) <= times, written


@then('the rows of all members are there')
def check_rows(context):
    rows = context.jobs.rows.rows
    missing = [
        name
        for name in (*context.gone, *context.live)
        if member_key(name) not in rows
    ]
    assert not missing, missing


@when('the row of a live node is removed')
def remove_row(context):
    world = context.jobs

    async def remove():
        world.rows.remove(member_key('n3'))

    world.loop.run(remove)


@then('that node is a member on all nodes')
def check_back(context):
    assert all('n3' in cell.members for cell in context.jobs.cells.values())
