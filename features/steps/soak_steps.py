"""Steps about the soak of the job cell."""

from behave import then

from features.harness.soak import Soak


@then('the soak of seed {seed:d} is whole')
def check_soak(context, seed):
    del context
    problems = Soak(seed=seed).play()
    assert not problems, problems
