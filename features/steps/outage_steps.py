"""Steps about nodes that lose the store or shut down."""

import trio
from behave import given, then, when

from cyclamentrack.jobs.service import RequestOutcome
from features.harness.jobworld import make_step


def _world(context):
    return context.jobs


@given('the store refuses the calls of the last node')
def refuse_last(context):
    world = _world(context)
    world.rows.refused_nodes.add(list(world.services)[-1])


@when('the store refuses the calls of the owner')
def refuse_owner(context):
    world = _world(context)
    context.former_owner = world.owner()
    world.rows.refused_nodes.add(context.former_owner)


@given('the store resets the calls of the last node')
def reset_last(context):
    world = _world(context)
    world.rows.reset_nodes.add(list(world.services)[-1])


@when('the store resets the calls of the owner')
def reset_owner(context):
    world = _world(context)
    context.former_owner = world.owner()
    world.rows.reset_nodes.add(context.former_owner)


@given("the store's replies to writes are {seconds:g} seconds late")
def delay_replies(context, seconds):
    rows = _world(context).rows
    rows.reply_delay_s = seconds
    context.claims = []
    rows.on_commit = lambda batch: _record_claim(context.claims, batch)


def _record_claim(claims, batch):
    if {'head', 'lease'} <= {key.key for key, _ in batch.puts}:
        claims.append(batch)


@then('the slice was claimed {times:d} time')
def check_claims(context, times):
    assert len(context.claims) == times, len(context.claims)


def _record_renewal(context, batch):
    if {key.key for key, _ in batch.puts} == {'lease'}:
        context.renewals.append(batch)


@then('its lease was written {times:d} time at most while it shut down')
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
    assert context.jobs.owner() in {None, context.former_owner}


@when('the owner shuts down')
def shut_down_owner(context):
    world = _world(context)
    context.former_owner = world.owner()
    context.renewals = []
    if world.rows.on_commit is None:
        world.rows.on_commit = lambda batch: _record_renewal(context, batch)
    cell = world.cells[context.former_owner]

    async def shut_down():
        world.loop.nursery.start_soon(cell.hand_over)

    world.loop.run(shut_down)


@given('the store refuses the calls of all nodes but the owner')
def refuse_others(context):
    world = _world(context)
    others = set(world.services) - {world.owner()}
    world.rows.refused_nodes.update(others)


@when('the store accepts the calls of all nodes')
def accept_all(context):
    _world(context).rows.refused_nodes.clear()


@when('the store goes down')
def lose_store(context):
    _world(context).rows.down = True


@then('a job that is submitted now is {outcome}')
def check_outcome(context, outcome):
    job, found = _world(context).submit(make_step(1))
    context.job = job
    assert found is RequestOutcome(outcome), found


@then('the last job is unknown')
def check_unknown(context):
    assert _world(context).state(context.job) is None


@when('the store resets the calls of all nodes')
def reset_all(context):
    world = _world(context)
    world.rows.reset_nodes.update(world.services)


@then('each node refuses a job within {seconds:g} second')
def check_refused_soon(context, seconds):
    world = _world(context)
    for name in world.services:
        began = world.loop.run(world.now)
        _, outcome = world.submit(make_step(1), node=name)
        took_s = world.loop.run(world.now) - began
        assert outcome is RequestOutcome.REFUSED, (name, outcome)
        assert took_s <= seconds, (name, took_s)
