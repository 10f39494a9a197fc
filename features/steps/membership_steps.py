"""Steps about the members of a cell."""

from behave import then, when

from cyclamentrack.jobs.records import member_key
from features.harness.calls import CallCounter
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


@then(
    "reading the owner's permit routes makes as many calls with {more:d} "
    'more nodes'
)
def check_calls(context, more):
    world = context.jobs
    cell = world.cells[world.owner()]
    before = _count_route_calls(cell)
    for number in range(more):
        world.start_node(f'more-{number}')
    world.loop.sleep(1)
    assert len(cell.permit_routes(POOL)) == len(world.cells)
    assert _count_route_calls(cell) == before


def _count_route_calls(cell):
    cell.permit_routes(POOL)
    with CallCounter() as calls:
        cell.permit_routes(POOL)
    return calls.count


@when('a fourth node is started')
def start_fourth(context):
    context.jobs.start_node('n9')


@when('the fourth node leaves')
def leave_fourth(context):
    world = context.jobs
    world.loop.run(world.cells['n9'].hand_over)
    world.kill_node('n9')


@then('the owner has {count:d} permit routes')
def check_routes(context, count):
    world = context.jobs
    routes = world.cells[world.owner()].permit_routes(POOL)
    assert len(routes) == count, sorted(routes)
