"""Steps about real processes between stand-ins of the platform."""

import asyncio

from behave import then

from features.processes.scenarios import partition_owner


@then('a job of real processes runs once though its owner is partitioned')
def check_partitioned_owner(context):
    del context
    cell = asyncio.run(partition_owner(2))
    assert not cell.judge.broken, cell.judge.broken
