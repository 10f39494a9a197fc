"""Steps that run scripted failures, with or without a guard."""

from behave import then, when

from features.harness.guards import GUARDS
from features.harness.scripts import run_script


@when('the script "{name}" runs')
def run_named_script(context, name):
    context.script = name
    run_script(name)


@then('every promise was kept')
def check_kept(context):
    assert context.script


@then('without the guard "{name}" a promise is broken')
def check_broken(context, name):
    try:
        with GUARDS[name]():
            run_script(context.script)
    except AssertionError:
        return
    raise AssertionError(
        f'script {context.script!r} passes without the guard {name!r}'
    )
