"""Steps about waits in a loop that is held up."""

import math

import trio
from behave import given, step, then, when

from cyclamentrack.timeouts import LagAwareTimeouts
from features.harness.loop import PausedLoop

_TICK_S = 0.05


@given('a wait of {seconds:g} seconds')
def begin_wait(context, seconds):
    context.loop = PausedLoop()
    context.add_cleanup(context.loop.close)
    context.timeouts = LagAwareTimeouts()
    context.ready = trio.Event()
    context.outcome = None
    context.loop.run(_begin, context, seconds)


async def _begin(context, seconds):
    context.loop.nursery.start_soon(context.timeouts.run)
    await trio.sleep(_TICK_S)
    context.loop.nursery.start_soon(_wait, context, seconds)
    await trio.lowlevel.checkpoint()


async def _wait(context, seconds):
    context.outcome = False
    with context.timeouts.limit(seconds):
        await context.ready.wait()
        context.outcome = True


@step('{seconds:g} seconds pass')
def let_pass(context, seconds):
    context.loop.sleep(seconds)


@when('the loop is held up for {seconds:g} seconds')
def hold_up(context, seconds):
    context.loop.hold_up(seconds)


@when('what is waited for is ready')
def make_ready(context):
    async def make():
        context.ready.set()
        await trio.lowlevel.checkpoint()

    context.loop.run(make)


@then('the wait has succeeded')
def check_success(context):
    assert context.outcome is True, context.outcome


@then('the wait has failed')
def check_failure(context):
    make_ready(context)
    assert context.outcome is False, context.outcome


@then('a lag of {seconds:g} seconds is told')
def check_lag(context, seconds):
    lag_s = context.timeouts.lag_s
    assert math.isclose(lag_s, seconds, abs_tol=_TICK_S), lag_s
