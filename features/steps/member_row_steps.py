"""Steps about the rows in which nodes register as members."""

import secrets

from behave import then, when

from cyclamentrack.jobs.records import MEMBERS, member_key

_NODE = 'n9'


@when('a third node is started')
def start_third(context):
    context.jobs.start_node(_NODE, incarnation=secrets.token_hex(4))


@when('a third node is started, and its registration is carried out late')
def start_late(context):
    _delay_member_write(context)
    start_third(context)


@when('the third node leaves')
def leave_third(context):
    world = context.jobs
    world.loop.run(world.cells[_NODE].hand_over)
    world.kill_node(_NODE)


@when('the third node leaves, and its removal is carried out late')
def leave_late(context):
    _delay_member_write(context)
    leave_third(context)


@when('the third node is killed')
def kill_third(context):
    context.jobs.kill_node(_NODE)


@then('the third node is a member on all nodes')
def check_member(context):
    assert all(_listing(context)), _listing(context)


@then('the third node is a member on no node')
def check_no_member(context):
    assert not any(_listing(context)), _listing(context)


@then('no row of the third node is left')
def check_no_row(context):
    assert member_key(_NODE) not in context.jobs.rows.rows


def _listing(context):
    return [_NODE in cell.members for cell in context.jobs.cells.values()]


def _delay_member_write(context):
    """Carry out the next write of a member's row late."""
    rows = context.jobs.rows

    def begin(batch):
        keys = [*(key for key, _ in batch.puts), *batch.removes]
        if any(key.table == MEMBERS for key in keys):
            rows.on_commit = None
            rows.delayed_writes = 1

    rows.on_commit = begin
