"""Steps about the metrics of an owner."""

from behave import given, then, when

from cyclamentrack.ids import PoolName
from cyclamentrack_platform.front import HttpFrontend
from features.harness.asgi import call_app
from features.harness.jobworld import POOL, make_queue


@given('a second pool on the same node')
def add_pool(context):
    world = context.jobs
    for name in [name for name in world.cells if name != world.owner()]:
        world.kill_node(name)
    second = PoolName('second')
    world.configure(
        make_queue('lookups', permits=0.02),
        make_queue('other', pool=second),
        pools=(POOL, second),
    )
    world.loop.sleep(6)
    assert world.owner(second) == world.owner()


@when('another owner fences the workers')
def fence_workers(context):
    world = context.jobs
    context.former_owner = world.cells[world.owner()]
    for worker in world.workers.workers.values():
        worker.token += 1000


@then("the owner's metrics have these samples")
def check_owner_samples(context):
    world = context.jobs
    _check_samples(context, world.cells[world.owner()])


@then("the former owner's metrics have these samples")
def check_former_owner_samples(context):
    _check_samples(context, context.former_owner)


def _check_samples(context, cell):
    world = context.jobs
    frontend = HttpFrontend(
        cell=cell,
        service=world.services[cell.me.node],
        metrics=cell.dependencies.metrics,
    )
    reply = world.loop.run(call_app, frontend.readiness, 'GET', '/metrics')
    lines = reply.body.decode().splitlines()
    for row in context.table:
        expected = f'{row["sample"]} {row["value"]}'
        assert expected in lines, (expected, lines)
