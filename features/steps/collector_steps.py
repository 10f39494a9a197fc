"""Steps about the garbage collector."""

import gc

from behave import given, then

from cyclamentrack_platform.process import set_up_collector


@given('a process that has set up its garbage collector')
def set_up(context):
    context.add_cleanup(gc.set_threshold, *gc.get_threshold())
    context.add_cleanup(gc.unfreeze)
    set_up_collector()


@then('at least {least:d} objects are excluded from collections')
def check_excluded(context, least):
    del context
    assert gc.get_freeze_count() >= least, gc.get_freeze_count()


@then('{count:d} new objects trigger no collection')
def check_rare(context, count):
    del context
    gc.collect()
    began = [one['collections'] for one in gc.get_stats()]
    kept = [[number] for number in range(count)]
    assert len(kept) == count
    assert [one['collections'] for one in gc.get_stats()] == began
