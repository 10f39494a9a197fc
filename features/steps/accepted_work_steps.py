"""Steps about crowds that hand in very much work, on real processes."""

import asyncio

from behave import then, when

from features.processes.crowds import visit, visit_stored

_KB_PER_MB = 1024
_ANSWERS = {200, 400, 429}
_CROWDS = {
    'one job of 2,000,000 tasks': 'vast_job',
    'jobs of 200 steps of 100 tasks': 'broad_jobs',
    'jobs of 200 steps of 50 tasks': 'large_jobs',
    'small jobs with long texts': 'long_texts',
    'repeated jobs that are due at once': 'due_repetitions',
}


@when(
    '{count:d} nodes of {memory:d} MB and {descriptors:d} descriptors '
    'get "{crowd}"'
)
def play_crowd(context, count, memory, descriptors, crowd):
    context.limits = {'MemoryMb': memory, 'MaxFds': descriptors}
    nodes = tuple(f'n{number}' for number in range(count))
    context.visit = asyncio.run(
        visit(_CROWDS[crowd], nodes=nodes, limits=context.limits)
    )


@when(
    'a node of {memory:d} MB and {descriptors:d} descriptors starts with '
    'stored jobs'
)
def start_with_jobs(context, memory, descriptors):
    context.limits = {'MemoryMb': memory, 'MaxFds': descriptors}
    context.visit = asyncio.run(visit_stored(limits=context.limits))


@then('the stored job that no node can hold is shown as "{state}"')
def check_stored_job(context, state):
    assert context.visit.shown == state, context.visit.shown


@then('each process lives and stays within its memory and descriptors')
def check_processes(context):
    found = context.visit
    assert found.same_processes, found.broken
    assert not found.broken, found.broken
    limit_kb = context.limits['MemoryMb'] * _KB_PER_MB
    assert found.memory_kb < limit_kb, (found.memory_kb, limit_kb)
    assert found.descriptors < context.limits['MaxFds'], found.descriptors


@then('each node serves an ordinary request')
def check_ordinary_requests(context):
    assert all(context.visit.served), context.visit.served


@then('each client was answered with 200, 400 or 429')
def check_answers(context):
    unexpected = set(context.visit.statuses) - _ANSWERS
    assert not unexpected, unexpected
