"""Steps about timeouts in a loop that is blocked."""

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
    context.event = trio.Event()
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
        await context.event.wait()
        context.outcome = True


@step('{seconds:g} seconds pass')
def let_pass(context, seconds):
    context.loop.sleep(seconds)


@when('the loop is blocked for {seconds:g} seconds')
def block_loop(context, seconds):
    context.loop.block(seconds)


@when('the awaited event is set')
def set_event(context):
    async def set_it():
        context.event.set()
        await trio.lowlevel.checkpoint()

    context.loop.run(set_it)


@then('the wait has succeeded')
def check_success(context):
    assert context.outcome is True, context.outcome


@then('the wait has failed')
def check_failure(context):
    set_event(context)
    assert context.outcome is False, context.outcome


@then('a lag of {seconds:g} seconds is reported')
def check_lag(context, seconds):
    lag_s = context.timeouts.lag_s
    assert math.isclose(lag_s, seconds, abs_tol=_TICK_S), lag_s
