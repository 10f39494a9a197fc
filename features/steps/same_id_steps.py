"""Steps about ids that requests to several queues have in common."""

import msgspec
from behave import given, then, when

from cyclamentrack.codec import encode
from cyclamentrack.ids import PoolName
from cyclamentrack.jobs.model import JobId
from cyclamentrack.jobs.records import cancel_key
from cyclamentrack.metrics import Metrics
from cyclamentrack_platform.front import HttpFrontend
from cyclamentrack_standins.jobworkers import Behaviour
from features.harness.asgi import call_app
from features.harness.jobworld import make_queue, make_step

_APPLIED_S = 1.0
_JOB = JobId('00000000000000ab')
_CANCELLATIONS = {
    'another queue': encode(make_queue('other').origin),
    'its own queue': encode(make_queue('lookups').origin),
    'an earlier version': b'1',
}


@given('a second queue "{name}" of the pool "{pool}"')
def add_queue(context, name, pool):
    world = context.jobs
    second = make_queue(name, pool=PoolName(pool))
    world.configure(make_queue('lookups'), second, pools=context.pools)
    world.loop.sleep(_APPLIED_S)


@given("an HTTP frontend on the pool's owner")
def serve_by_owner(context):
    _serve(context, context.jobs.owner())


@given('an HTTP frontend on another node')
def serve_by_other(context):
    owner = context.jobs.owner()
    _serve(context, next(one for one in context.jobs.cells if one != owner))


def _serve(context, name):
    context.frontend = HttpFrontend(
        cell=context.jobs.cells[name],
        service=context.jobs.services[name],
        metrics=Metrics(),
    )


@when('its queue is configured as "{name}" with the prefix "{prefix}"')
def change_queue(context, name, prefix):
    world = context.jobs
    queue = msgspec.structs.replace(make_queue(name), path_prefix=prefix)
    world.configure(queue, pools=context.pools)
    world.loop.sleep(_APPLIED_S)


@when('a caller submits {count:d} tasks of {work_s:g} seconds to "{target}"')
def submit_tasks(context, count, work_s, target):
    world = context.jobs
    world.workers.behaviours[_JOB, 0] = Behaviour(
        step=make_step(count), work_s=work_s
    )
    body = {'Steps': [{'Count': count, 'Cpu': 100, 'MemMb': 10}]}
    context.reply = world.loop.run(
        call_app,
        context.frontend.callers,
        'POST',
        target,
        msgspec.json.encode(body),
        'h',
    )


@when('it is to be found by {who}')
def choose_owner(context, who):
    if who == 'a new owner':
        context.jobs.kill_node(context.jobs.owner())


@when('a cancellation of {whose} is stored')
def store_cancellation(context, whose):
    async def put():
        context.jobs.rows.put(cancel_key(_JOB), _CANCELLATIONS[whose])

    context.jobs.loop.run(put)


@then('the answer names another id as the remedy')
def check_remedy(context):
    assert 'another id' in context.reply.json()['Error'], context.reply.body


@then('the caller gets the state "{state}"')
def check_shown(context, state):
    assert context.reply.status == 200, context.reply.status
    assert context.reply.json() == {'State': state}, context.reply.body
