"""Steps about change tickets."""

from operator import itemgetter

import trio
from behave import given, then, when

from cyclamentrack.errors import Problem
from cyclamentrack.ids import DaemonId, TeamName, TicketNumber
from cyclamentrack.tickets import Team, Ticket, TicketRow
from cyclamentrack_standins.table import StoreFaults


def _ticket(number, teams, weight):
    return Ticket(
        number=TicketNumber(number),
        by='operator',
        objects=[Team(name=name, weight=weight) for name in teams],
    )


async def _apply(node, ticket):
    """Return the outcome of a ticket, or ``None`` after 5 seconds."""
    with trio.move_on_after(5):
        return await node.apply_ticket(ticket)
    return None


@when('ticket {number:d} sets the weight of team "{team}" to {weight:d}')
def apply_one(context, number, team, weight):
    node = context.world.any_node()
    ticket = _ticket(number, [team], weight)
    context.outcome = context.world.loop.run(_apply, node, ticket)


@when('ticket {number:d} sets the weights of teams "{teams}" to {weight:d}')
def apply_many(context, number, teams, weight):
    node = context.world.any_node()
    ticket = _ticket(number, teams.split(', '), weight)
    context.outcome = context.world.loop.run(_apply, node, ticket)


@when('{count:d} operators send tickets from {first:d} on for teams "{teams}"')
def send_concurrently(context, count, first, teams):
    nodes = list(context.world.cell.nodes.values())
    outcomes = {}

    async def apply(number):
        ticket = _ticket(number, teams.split(', '), number)
        node = nodes[number % len(nodes)]
        outcomes[number] = await node.apply_ticket(ticket)

    async def apply_all():
        async with trio.open_nursery() as nursery:
            for number in range(first, first + count):
                nursery.start_soon(apply, number)

    context.world.loop.run(apply_all)
    context.outcomes = outcomes


@when('{seconds:d} seconds pass')
def let_pass(context, seconds):
    context.world.loop.sleep(seconds)


@given('the table service loses every reply')
def lose_replies(context):
    context.world.cell.table.faults = StoreFaults(lost_replies=1)


@given('the table service is down')
def stop_table(context):
    context.world.cell.table.faults = StoreFaults(out=True)


@when('the table service recovers')
def restore_table(context):
    context.world.cell.table.faults = StoreFaults()


@given('daemon "{name}" is paused')
def pause(context, name):
    context.world.cell.freeze(context.world.node(name))


@when('daemon "{name}" is resumed')
def resume(context, name):
    async def resume_one():
        context.world.cell.thaw(context.world.node(name))
        await trio.lowlevel.checkpoint()

    context.world.loop.run(resume_one)


@when('daemon "{name}" starts')
def start(context, name):
    async def start_one():
        await trio.lowlevel.checkpoint()
        return context.world.cell.start_daemon(DaemonId(name))

    context.world.daemons[name] = context.world.loop.run(start_one)


@when('an operator sends ticket {number:d} with the body')
def send_ticket(context, number):
    body = context.text.encode()
    context.world.http('operators', 'PUT', f'/v1/tickets/{number}', body)


@then('daemon "{name}" is not ready')
def check_not_ready(context, name):
    assert not context.world.daemons[name].ready


@then('team "{team}" has weight {weight:d} at every daemon')
def check_weight(context, team, weight):
    for node in context.world.cell.nodes.values():
        found = node.configuration.weight(TeamName(team))
        assert found == weight, (node.me.daemon, found)


@then('no daemon lacks ticket {number:d}')
def check_in_force(context, number):
    reply = context.world.http('operators', 'GET', f'/v1/tickets/{number}')
    view = reply.json()
    assert view['lacking'] == [], view
    assert len(view['in_force']) == 3, view


@then('the last ticket was accepted at revision {revision:d}')
def check_accepted(context, revision):
    assert isinstance(context.outcome, TicketRow), context.outcome
    assert context.outcome.revision == revision


@then('the last ticket was refused as "{kind}"')
def check_refused(context, kind):
    assert isinstance(context.outcome, Problem), context.outcome
    assert context.outcome.kind.value == kind


@then('the refusal names ticket {number:d}')
def check_newer_ticket(context, number):
    assert f'ticket {number}' in context.outcome.detail
    assert f'ticket show {number}' in context.outcome.remedy


@then('the teams "{teams}" have one common weight at every daemon')
def check_common_weight(context, teams):
    found = {
        node.configuration.weight(TeamName(team))
        for node in context.world.cell.nodes.values()
        for team in teams.split(', ')
    }
    assert len(found) == 1, found


@then('the accepted tickets were applied in the order of their numbers')
def check_order(context):
    accepted = [
        (outcome.revision, number)
        for number, outcome in context.outcomes.items()
        if isinstance(outcome, TicketRow)
    ]
    assert accepted
    assert sorted(accepted) == sorted(accepted, key=itemgetter(1))
    last = max(number for _, number in accepted)
    node = context.world.any_node()
    assert node.configuration.weight(TeamName('theatre')) == last


@then('the audit trail of ticket "{number}" has the event "{event}"')
def check_audit(context, number, event):
    reply = context.world.http(
        'operators', 'GET', f'/v1/audit?subject={number}'
    )
    events = [entry['event'] for entry in reply.json()]
    assert event in events, events
