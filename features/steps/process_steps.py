"""Steps about real processes between stand-ins of the platform."""

import asyncio

from behave import then

from features.processes.judge_checks import broken_rules
from features.processes.scenarios import partition_owner
from features.processes.soak import ProcessSoak


@then('a job of real processes runs once though its owner is partitioned')
def check_partitioned_owner(context):
    del context
    cell = asyncio.run(partition_owner(2))
    assert not cell.judge.broken, cell.judge.broken


@then('the soak of processes of seed {seed:d} is whole')
def check_process_soak(context, seed):
    del context
    soak = ProcessSoak(seed=seed)
    problems = asyncio.run(soak.play())
    assert not problems, (problems, soak.played)


@then('the judge finds "{rule}" where it is broken by "{case}"')
def check_judge(context, rule, case):
    del context
    assert broken_rules(case) == {rule}, broken_rules(case)
