"""Steps that send HTTP requests to the listeners of a daemon."""

from behave import then, when


@when('a caller sends the body')
def send_body(context):
    context.world.http('callers', 'POST', '/v1/work', context.text.encode())


@when('a caller sends a body of {size:d} bytes')
def send_large_body(context, size):
    context.world.http('callers', 'POST', '/v1/work', b' ' * size)


@when('a caller sends "{method}" to "{target}"')
def send_request(context, method, target):
    context.world.http('callers', method, target)


@then('the problem is "{kind}" with status {status:d}')
def check_problem(context, kind, status):
    reply = context.world.reply
    assert reply.status == status, (reply.status, reply.body)
    assert reply.headers['content-type'] == 'application/problem+json'
    assert reply.json()['type'] == f'urn:cyclamentrack:problem:{kind}'


@then('the problem names a remedy and says that nothing ran')
def check_remedy(context):
    problem = context.world.reply.json()
    assert problem['remedy']
    assert problem['ran'] == 'no'


@then('item "{name}" is refused as "{kind}"')
def check_item(context, name, kind):
    items = {item['id']: item for item in context.world.reply.json()}
    assert items[name]['problem']['type'].endswith(f':{kind}'), items
