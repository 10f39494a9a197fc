"""Steps about clients outside the limits, on a real process."""

import asyncio

from behave import then, when

from features.processes.hostile import attack, cut_short, end_under_attack

_KB_PER_MB = 1024
_UNKNOWN = 410
_ATTACKS = {
    'endless trailers': 'trailers',
    'stalled bodies': 'stalled',
    'bodies sent piece by piece': 'pieces',
    'complete large bodies': 'complete',
    'pipelined requests, responses unread': 'pipelined',
    'half-open heads': 'half_open',
}


@when('a node of {memory:d} MB is attacked with "{name}"')
def play_attack(context, memory, name):
    _attack(context, name, {'MemoryMb': memory})


@when(
    'a node of {memory:d} MB and {count:d} descriptors '
    'is attacked with "{name}"'
)
def play_attack_on_descriptors(context, memory, count, name):
    _attack(context, name, {'MemoryMb': memory, 'MaxFds': count})


def _attack(context, name, limits):
    context.limits = limits
    context.visit = asyncio.run(attack(_ATTACKS[name], limits=limits))


@when('a node gets SIGTERM while clients hold bodies, heads and responses')
def end_node(context):
    context.status = asyncio.run(end_under_attack())


@then('it has ended with status {status:d}')
def check_status_of_end(context, status):
    assert context.status == status, context.status


@then('its process lives and stays within its memory')
def check_process(context):
    visit = context.visit
    assert visit.same_process, visit.broken
    assert not visit.broken, visit.broken
    limit_kb = context.limits['MemoryMb'] * _KB_PER_MB
    assert visit.memory_kb < limit_kb, (visit.memory_kb, limit_kb)


@then('it stays within its descriptors')
def check_descriptors(context):
    limit = context.limits['MaxFds']
    assert context.visit.descriptors < limit, context.visit.descriptors


@then('it serves an ordinary request')
def check_ordinary_request(context):
    assert context.visit.served


@then(
    'a job that is cut short by the end of its connection, {framing}, '
    'is unknown'
)
def check_cut_short(context, framing):
    del context
    status, broken = asyncio.run(cut_short(chunked=framing == 'chunked'))
    assert status == _UNKNOWN, status
    assert not broken, broken
