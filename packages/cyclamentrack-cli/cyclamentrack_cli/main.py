"""Commands of the command line."""

from operator import itemgetter
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import typer
from returns.result import Failure

from cyclamentrack_cli.client import request
from cyclamentrack_cli.output import (
    EXIT_FAILED,
    EXIT_USAGE,
    print_json,
    print_table,
    refuse,
)

_ENDED_BADLY = frozenset(('failed', 'cancelled', 'outcome-unknown'))
_ENDED = _ENDED_BADLY | {'succeeded'}
_WAIT_ROUND_S = 30

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help=(
        'Submit work to a cyclamentrack cell and operate it. Exit status: '
        '0 done, 1 the work did not succeed, 2 wrong usage, 3 refused, '
        '4 no daemon was reached.'
    ),
)
ticket_app = typer.Typer(no_args_is_help=True, help='Change tickets.')
app.add_typer(ticket_app, name='ticket')

Address = Annotated[
    str,
    typer.Option(
        envvar='CYCLAMENTRACK_ADDRESS',
        help="Callers' listener of a daemon (ip:port).",
    ),
]
OperatorAddress = Annotated[
    str,
    typer.Option(
        '--address',
        envvar='CYCLAMENTRACK_OPERATOR_ADDRESS',
        help="Operators' listener of a daemon (ip:port).",
    ),
]
Json = Annotated[bool, typer.Option('--json', help='Print JSON.')]

_CALLERS = '127.0.0.1:7400'
_OPERATORS = '127.0.0.1:7401'


@app.command()
def submit(
    path: Annotated[Path, typer.Argument(help='JSON file, "-" for stdin.')],
    address: Address = _CALLERS,
    json: Json = False,
) -> None:
    """Submit one work, or an array of works."""
    answer = _ask('POST', address, '/v1/work', _read(path))
    if json:
        print_json(answer)
        return
    items = answer if isinstance(answer, list) else [answer]
    print_table(('WORK', 'STATE', 'NOTE'), [_item_row(one) for one in items])
    if any('problem' in one and one['problem'] for one in items):
        raise typer.Exit(EXIT_FAILED)


@app.command()
def show(work: str, address: Address = _CALLERS, json: Json = False) -> None:
    """Show a work's state."""
    _print_view(_ask('GET', address, _work_path(work)), json=json)


@app.command()
def wait(work: str, address: Address = _CALLERS, json: Json = False) -> None:
    """Wait for a work's end; exit 1 when it did not succeed."""
    path = f'{_work_path(work)}?wait_s={_WAIT_ROUND_S}'
    view = _ask('GET', address, path)
    while view['stage'] not in _ENDED:
        view = _ask('GET', address, path)
    _print_view(view, json=json)
    if view['stage'] in _ENDED_BADLY:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def cancel(work: str, address: Address = _CALLERS, json: Json = False) -> None:
    """Cancel a work."""
    _print_view(_ask('DELETE', address, _work_path(work)), json=json)


@app.command()
def result(work: str, address: Address = _CALLERS) -> None:
    """Print the answers of a work that succeeded, a line per task."""
    answer = _ask('GET', address, f'{_work_path(work)}/result')
    for line in answer['answers']:
        typer.echo(line)


@ticket_app.command('apply')
def apply_ticket(
    path: Annotated[Path, typer.Argument(help='JSON file, "-" for stdin.')],
    number: Annotated[int, typer.Option(help="The ticket's number.")],
    address: OperatorAddress = _OPERATORS,
    json: Json = False,
) -> None:
    """Apply a change ticket."""
    answer = _ask('PUT', address, f'/v1/tickets/{number}', _read(path))
    _print_ticket(answer, json=json)


@ticket_app.command('show')
def show_ticket(
    number: int,
    wait_s: Annotated[
        float,
        typer.Option('--wait', help='Seconds to wait for all daemons.'),
    ] = 0,
    address: OperatorAddress = _OPERATORS,
    json: Json = False,
) -> None:
    """Show a ticket and where it is in force."""
    path = f'/v1/tickets/{number}?wait_s={wait_s}'
    answer = _ask('GET', address, path)
    _print_ticket(answer, json=json)
    if wait_s and answer['lacking']:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def status(address: OperatorAddress = _OPERATORS, json: Json = False) -> None:
    """Show the cell as one daemon sees it."""
    answer = _ask('GET', address, '/v1/status')
    if json:
        print_json(answer)
        return
    rows = [
        [
            member['daemon'],
            member['zone'],
            member['state'],
            str(member['revision']),
            str(member['partitions']),
        ]
        for member in sorted(
            answer['members'],
            key=itemgetter('daemon'),
        )
    ]
    print_table(('DAEMON', 'ZONE', 'STATE', 'REVISION', 'PARTITIONS'), rows)
    typer.echo('')
    own = [
        [name.replace('_', ' '), str(answer[name])]
        for name in (
            'daemon',
            'ready',
            'partitions',
            'unowned',
            'workers',
            'workers_open',
            'queued',
            'running',
            'placements',
            'journal_lag',
            'audit_dropped',
        )
    ]
    own.append(['quarantined', ', '.join(answer['quarantined']) or '-'])
    print_table(('THIS DAEMON', ''), own)


@app.command()
def audit(
    work: Annotated[str, typer.Option(help='Only this work.')] = '',
    ticket: Annotated[str, typer.Option(help='Only this ticket.')] = '',
    since: Annotated[
        float,
        typer.Option(help='Only entries from this Unix time on.'),
    ] = 0,
    address: OperatorAddress = _OPERATORS,
    json: Json = False,
) -> None:
    """Show audit entries in order of time."""
    subject = quote(work or ticket, safe='')
    path = f'/v1/audit?subject={subject}&since={since}'
    entries = _ask('GET', address, path)
    if json:
        print_json(entries)
        return
    print_table(
        ('TIME', 'DAEMON', 'KIND', 'SUBJECT', 'EVENT', 'BY', 'DETAIL'),
        [
            [
                f'{entry["at"]:.3f}',
                entry['daemon'],
                entry['kind'],
                entry['subject'],
                entry['event'],
                entry['by'],
                entry['detail'],
            ]
            for entry in entries
        ],
    )


def main() -> None:
    """Run the command line."""
    app()


def _ask(method: str, address: str, path: str, body: bytes = b'') -> Any:
    answer = request(method, address, path, body)
    if isinstance(answer, Failure):
        refuse(answer.failure())
    return answer.unwrap()


def _work_path(work: str) -> str:
    return f'/v1/work/{quote(work, safe="")}'


def _read(path: Path) -> bytes:
    if str(path) == '-':
        return typer.get_binary_stream('stdin').read()
    try:
        return path.read_bytes()
    except OSError as error:
        typer.echo(f"cyclamentrack: {path} can't be read: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


def _item_row(item: Any) -> list[str]:
    problem = item.get('problem')
    if problem:
        return [item['id'], problem['title'], problem['detail']]
    view = item.get('view') or item
    stage = view.get('stage', 'answered')
    return [item['id'], stage, item.get('answer') or view.get('reason') or '']


def _print_view(view: Any, *, json: bool) -> None:
    if json:
        print_json(view)
        return
    print_table(
        ('WORK', 'STATE', 'RAN', 'TASKS', 'RUNNING', 'DONE', 'REASON'),
        [
            [
                view['id'],
                view['stage'],
                view['ran'],
                str(view['tasks']),
                str(view['running']),
                str(view['done']),
                view['reason'],
            ],
        ],
    )


def _print_ticket(answer: Any, *, json: bool) -> None:
    if json:
        print_json(answer)
        return
    ticket = answer['ticket']
    names = ', '.join(
        f'{one["object"]} {one["name"]}' for one in ticket['objects']
    )
    print_table(
        ('TICKET', 'BY', 'REVISION', 'SETS'),
        [[str(ticket['number']), ticket['by'], str(answer['revision']), names]],
    )
    print_table(
        ('IN FORCE AT', 'LACKING AT'),
        [
            [
                ', '.join(answer['in_force']) or '-',
                ', '.join(answer['lacking']) or '-',
            ],
        ],
    )
