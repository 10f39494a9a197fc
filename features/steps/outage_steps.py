"""Steps about nodes that lose the store, and about nodes that leave."""

import trio
from behave import given, then, when

from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_step


def _world(context):
    return context.jobs


@given('the store turns the last node away')
def refuse_last(context):
    world = _world(context)
    world.rows.refused_nodes.add(list(world.services)[-1])


@when('the store turns the owner away')
@when('the store turns away the owner')
def refuse_owner(context):
    world = _world(context)
    context.former = world.owner()
    world.rows.refused_nodes.add(context.former)


@given('the store resets the last node')
def reset_last(context):
    world = _world(context)
    world.rows.reset_nodes.add(list(world.services)[-1])


@when('the store resets the owner')
def reset_owner(context):
    world = _world(context)
    context.former = world.owner()
    world.rows.reset_nodes.add(context.former)


@given("the store's replies to writes are {seconds:g} seconds late")
def delay_replies(context, seconds):
    rows = _world(context).rows
    rows.reply_delay_s = seconds
    context.claims = []
    rows.on_commit = lambda batch: _note_claim(context.claims, batch)


def _note_claim(claims, batch):
    if {'head', 'lease'} <= {key.key for key, _ in batch.puts}:
        claims.append(batch)


@then('the slice was claimed {times:d} time')
def check_claims(context, times):
    assert len(context.claims) == times, len(context.claims)


def _note_renewal(context, batch):
    if {key.key for key, _ in batch.puts} == {'lease'}:
        context.renewals.append(batch)


@then('its lease was written {times:d} time at most while it left')
def check_renewals(context, times):
    assert len(context.renewals) <= times, len(context.renewals)


@given('the other nodes have read no configuration')
def forget_configuration(context):
    world = context.jobs
    for name, cell in world.cells.items():
        if name != world.owner():
            cell.configured = trio.Event()
            cell.configuration = None


@then('no other node owns the pool')
def check_unowned(context):
    assert context.jobs.owner() in {None, context.former}


@when('the owner leaves')
def leave_owner(context):
    world = _world(context)
    context.former = world.owner()
    context.renewals = []
    if world.rows.on_commit is None:
        world.rows.on_commit = lambda batch: _note_renewal(context, batch)
    cell = world.cells[context.former]

    async def leave():
        world.loop.nursery.start_soon(cell.hand_over)

    world.loop.run(leave)


@given('the store turns all nodes away but the owner')
def refuse_others(context):
    world = _world(context)
    others = set(world.services) - {world.owner()}
    world.rows.refused_nodes.update(others)


@when('the store serves all nodes')
def serve_all(context):
    _world(context).rows.refused_nodes.clear()


@when('the store goes down')
def lose_store(context):
    _world(context).rows.down = True


@then('a job that is submitted now is {kept}')
def check_kept(context, kept):
    found = _world(context).submit(make_step(1))
    context.job = found[0]
    assert found[1] is RequestOutcome(kept), found


@then('nothing of the last job is known')
def check_unknown(context):
    assert _world(context).state(context.job) is None
