"""Steps about the members of a cell."""

from behave import then, when

from cyclamentrack.jobs.records import member_key
from features.harness.jobworld import POOL


@when('a node that owns nothing is removed from the members')
def remove_member(context):
    world = context.jobs
    context.left = next(name for name in world.cells if name != world.owner())
    world.kill_node(context.left)

    async def remove():
        world.rows.remove(member_key(context.left))

    world.loop.run(remove)


@then('no node lists it as a member or as a permit route')
def check_left(context):
    for cell in context.jobs.cells.values():
        assert context.left not in cell.members, cell.members
        assert context.left not in cell.permit_routes(POOL)
