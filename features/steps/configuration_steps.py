"""Steps about configurations of many routes."""

import msgspec
import trio
from behave import then, when

from cyclamentrack.jobs.model import Configuration, QueueName
from features.harness.calls import CallCounter
from features.harness.jobworld import POOL, make_queue

_IDLE_S = 2.0
_FEW_ROUTES = 20


def _queues(count):
    routes = [
        make_queue(f'route{number}', priority=1) for number in range(count)
    ]
    return [*routes, make_queue('lookups', permits=0.02)]


def _configuration(queues):
    return Configuration(
        version=1, queues=tuple(queues), pools=(POOL,), max_body_bytes=1
    )


@when('a configuration of {count:d} routes is written')
def write_routes(context, count):
    context.jobs.configure(*_queues(count))


@then('every node has it in force')
def check_in_force(context):
    for name, cell in context.jobs.cells.items():
        assert cell.configuration.version == context.jobs.version, name


@then(
    'look-ups by route and by name in {count:d} routes take '
    '{most:d} instructions at most'
)
def check_lookups(context, count, most):
    del context
    configuration = _configuration(_queues(count))
    last = configuration.queue(QueueName(f'route{count - 1}'))
    assert last is not None
    with CallCounter(instructions=True) as steps:
        found = [
            configuration.queue(last.name),
            configuration.route(host='h', path=f'{last.path_prefix}0'),
            configuration.route(host='h', path='/unknown/0'),
        ]
    assert found == [last, last, None]
    assert steps.count <= most, steps.count


@then(
    'an idle cell makes {times:g} times as many calls with {count:d} routes '
    'as with 20 at most'
)
def check_idle(context, times, count):
    world = context.jobs
    counts = []
    for routes in (_FEW_ROUTES, count):
        world.configure(*_queues(routes))
        world.loop.sleep(1.0)
        counts.append(world.loop.run(_count_idle_calls))
    assert counts[1] <= times * counts[0], counts


async def _count_idle_calls():
    with CallCounter() as calls:
        await trio.sleep(_IDLE_S)
    return calls.count


@then('these paths of host "h" select these queues')
def check_routes(context):
    queues = [
        msgspec.structs.replace(make_queue(name), path_prefix=prefix)
        for name, prefix in (('short', '/a/'), ('long', '/a/b/'))
    ]
    configuration = _configuration(queues)
    for row in context.table:
        found = configuration.route(host='h', path=row['path'])
        name = found.name if found else 'none'
        assert name == row['queue'], (row['path'], name)
        other = configuration.route(host='other', path=row['path'])
        assert other is None, (row['path'], other)
