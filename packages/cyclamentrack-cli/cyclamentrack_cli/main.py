"""Commands for callers and operators, and their arguments."""

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
    exit_with_error,
    print_json,
    print_table,
)

_UNSUCCESSFUL_STAGES = frozenset(('failed', 'cancelled', 'outcome-unknown'))
_FINAL_STAGES = _UNSUCCESSFUL_STAGES | {'succeeded'}
_POLL_WAIT_S = 30

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    help=(
        'Submit work to a cyclamentrack cell and operate it. Exit status: '
        '0 success, 1 the work did not succeed, 2 wrong usage, 3 refused, '
        '4 no daemon was reached.'
    ),
)
ticket_app = typer.Typer(
    no_args_is_help=True, help='Apply and show change tickets.'
)
app.add_typer(ticket_app, name='ticket')

Address = Annotated[
    str,
    typer.Option(
        envvar='CYCLAMENTRACK_ADDRESS',
        help="Address of a daemon's listener for callers (ip:port).",
    ),
]
OperatorAddress = Annotated[
    str,
    typer.Option(
        '--address',
        envvar='CYCLAMENTRACK_OPERATOR_ADDRESS',
        help="Address of a daemon's listener for operators (ip:port).",
    ),
]
Json = Annotated[bool, typer.Option('--json', help='Print JSON.')]

_DEFAULT_CALLERS_ADDRESS = '127.0.0.1:7400'
_DEFAULT_OPERATORS_ADDRESS = '127.0.0.1:7401'


@app.command()
def submit(
    path: Annotated[Path, typer.Argument(help='JSON file, "-" for stdin.')],
    address: Address = _DEFAULT_CALLERS_ADDRESS,
    json: Json = False,
) -> None:
    """Submit one work or an array of works; exit 1 when one is refused."""
    answer = _request_or_exit('POST', address, '/v1/work', _read_input(path))
    if json:
        print_json(answer)
        return
    items = answer if isinstance(answer, list) else [answer]
    print_table(
        ('WORK', 'STATE', 'NOTE'), [_submit_row(item) for item in items]
    )
    if any('problem' in item and item['problem'] for item in items):
        raise typer.Exit(EXIT_FAILED)


@app.command()
def show(
    work: str, address: Address = _DEFAULT_CALLERS_ADDRESS, json: Json = False
) -> None:
    """Show the state of a work."""
    _print_view(_request_or_exit('GET', address, _work_path(work)), json=json)


@app.command()
def wait(
    work: str, address: Address = _DEFAULT_CALLERS_ADDRESS, json: Json = False
) -> None:
    """Wait until a work ends; exit 1 when it did not succeed."""
    path = f'{_work_path(work)}?wait_s={_POLL_WAIT_S}'
    view = _request_or_exit('GET', address, path)
    while view['stage'] not in _FINAL_STAGES:
        view = _request_or_exit('GET', address, path)
    _print_view(view, json=json)
    if view['stage'] in _UNSUCCESSFUL_STAGES:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def cancel(
    work: str, address: Address = _DEFAULT_CALLERS_ADDRESS, json: Json = False
) -> None:
    """Cancel a work."""
    _print_view(
        _request_or_exit('DELETE', address, _work_path(work)), json=json
    )


@app.command()
def result(work: str, address: Address = _DEFAULT_CALLERS_ADDRESS) -> None:
    """Print the answers of a work that succeeded, one line per task."""
    answer = _request_or_exit('GET', address, f'{_work_path(work)}/result')
    for line in answer['answers']:
        typer.echo(line)


@ticket_app.command('apply')
def apply_ticket(
    path: Annotated[Path, typer.Argument(help='JSON file, "-" for stdin.')],
    number: Annotated[int, typer.Option(help='Number of the ticket.')],
    address: OperatorAddress = _DEFAULT_OPERATORS_ADDRESS,
    json: Json = False,
) -> None:
    """Apply a change ticket."""
    answer = _request_or_exit(
        'PUT', address, f'/v1/tickets/{number}', _read_input(path)
    )
    _print_ticket(answer, json=json)


@ticket_app.command('show')
def show_ticket(
    number: int,
    wait_s: Annotated[
        float,
        typer.Option(
            '--wait',
            help='Seconds to wait until it is in force at all daemons.',
        ),
    ] = 0,
    address: OperatorAddress = _DEFAULT_OPERATORS_ADDRESS,
    json: Json = False,
) -> None:
    """Show a ticket and the daemons at which it is in force.

    With --wait, exit 1 when a daemon still lacks the ticket in the end.
    """
    path = f'/v1/tickets/{number}?wait_s={wait_s}'
    answer = _request_or_exit('GET', address, path)
    _print_ticket(answer, json=json)
    if wait_s and answer['lacking']:
        raise typer.Exit(EXIT_FAILED)


@app.command()
def status(
    address: OperatorAddress = _DEFAULT_OPERATORS_ADDRESS, json: Json = False
) -> None:
    """Show the state of the cell as one daemon knows it."""
    answer = _request_or_exit('GET', address, '/v1/status')
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
    daemon_rows = [
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
    daemon_rows.append(['quarantined', ', '.join(answer['quarantined']) or '-'])
    print_table(('THIS DAEMON', ''), daemon_rows)


@app.command()
def audit(
    work: Annotated[str, typer.Option(help='Only entries of this work.')] = '',
    ticket: Annotated[
        str, typer.Option(help='Only entries of this ticket.')
    ] = '',
    since: Annotated[
        float,
        typer.Option(help='Only entries from this Unix time on.'),
    ] = 0,
    address: OperatorAddress = _DEFAULT_OPERATORS_ADDRESS,
    json: Json = False,
) -> None:
    """Show entries of the audit trail in order of time."""
    subject = quote(work or ticket, safe='')
    path = f'/v1/audit?subject={subject}&since={since}'
    entries = _request_or_exit('GET', address, path)
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


def _request_or_exit(
    method: str, address: str, path: str, body: bytes = b''
) -> Any:
    answer = request(method, address, path, body)
    if isinstance(answer, Failure):
        exit_with_error(answer.failure())
    return answer.unwrap()


def _work_path(work: str) -> str:
    return f'/v1/work/{quote(work, safe="")}'


def _read_input(path: Path) -> bytes:
    if str(path) == '-':
        return typer.get_binary_stream('stdin').read()
    try:
        return path.read_bytes()
    except OSError as error:
        typer.echo(f'cyclamentrack: cannot read {path}: {error}', err=True)
        raise typer.Exit(EXIT_USAGE) from error


def _submit_row(item: Any) -> list[str]:
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
        f'{entry["object"]} {entry["name"]}' for entry in ticket['objects']
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
