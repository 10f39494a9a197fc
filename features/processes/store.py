"""A stand-in of the platform's store: rows, transactions and feeds."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from features.processes.http import Server, wait_for

_ROW_BYTES = 65536
_MAX_ENTRIES = 100
_MAX_TX_BYTES = 1_000_000
_MAX_ROWS = 500
_MAX_PARTS = 1000
_TX_S = 0.004
_FORBIDDEN = ('op', 'servers')


class Store:
    """Rows with versions; ``refusals`` maps callers to a status of refusal."""

    def __init__(self, links):
        self.server = Server(self._answer, links)
        self.refusals = {}
        self.rows = {}
        self._links = links
        self._version = 1
        self._history = []
        self._first_kept = 0
        self._changed = asyncio.Event()
        self._locks = {}

    def put(self, table, key, body):
        """Write a row as the operator, a worker or another writer does."""
        self._apply({(table, '', key): body}, [])

    def put_batch(self, batch):
        """Write the rows of a batch of the product, without conditions."""
        puts = {
            (key.table, key.part, key.key): body for key, body in batch.puts
        }
        self._apply(puts, [])

    def remove(self, table, key):
        """Remove a row as the platform does."""
        self._apply({}, [(table, '', key)])

    def put_json(self, table, key, content):
        self.put(table, key, json.dumps(content).encode())

    def forget_history(self):
        """Let each feed that is behind begin again."""
        self._first_kept = self._version

    def holder(self, names, pool):
        """Return which of some nodes wrote the newest claim of a pool."""
        claims = [
            (version, body)
            for key, (body, version) in self.rows.items()
            if key[0] == 'claims' and pool in key
        ]
        for _, body in sorted(claims, reverse=True):
            for name in names:
                if name.encode() in body:
                    return name
        return None

    def _apply(self, puts, removes):
        self._version += 1
        for key, body in puts.items():
            self.rows[key] = (body, self._version)
            self._history.append((self._version, key, body))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self._history.append((self._version, key, None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request):
        parsed = urlsplit(request.target)
        pairs = parse_qs(parsed.query, keep_blank_values=True).items()
        query = {name: texts[0] for name, texts in pairs}
        if request.caller in self.refusals:
            return self.refusals[request.caller], {}
        match parsed.path:
            case '/-/rows-tx':
                return await self._transact(request)
            case '/-/rows-get':
                return self._get(query, request.caller)
            case '/-/rows-parts':
                return self._parts(query)
            case '/-/rows-feed':
                return await self._feed(query, request.caller)
        return 404, {}

    async def _transact(self, request):
        asked = request.body
        expected = asked.get('ExpectedRev', [])
        puts = {
            _key(row): base64.b64decode(row.get('Value', ''))
            for row in asked.get('SetKeys', [])
        }
        removes = [_key(row) for row in asked.get('Remove', [])]
        conditions = {_key(row): row['Ver'] for row in expected}
        keys = [*conditions, *puts, *removes]
        refusal = _refusal(keys, [*puts, *removes], puts)
        if refusal:
            return refusal, {}
        async with self._locks.setdefault(keys[0][1], asyncio.Lock()):
            await asyncio.sleep(_TX_S)
            if any(self._known(key) != conditions[key] for key in conditions):
                known = [key for key in conditions if key in self.rows]
                rows = [self._row(key, request.caller) for key in known]
                return 412, {'rows': rows, **self._stamp()}
            written = {
                key: self._links.written_by(request.caller, body)
                for key, body in puts.items()
            }
            self._apply(written, removes)
            return 200, self._stamp()

    def _known(self, key):
        return self.rows[key][1] if key in self.rows else 0

    def _stamp(self):
        return {'Ver': self._version, 'NowMs': int(time.monotonic() * 1000)}

    def _row(self, key, caller):
        body, version = self.rows[key]
        return {**self._shown(key, body, caller), 'Ver': version}

    def _shown(self, key, body, caller):
        shown = self._links.shown_to(caller, body)
        return {
            'Table': key[0],
            'part': key[1],
            'Key': key[2],
            'Value': base64.b64encode(shown).decode(),
        }

    def _get(self, query, caller):
        name = (query['Table'], query.get('part', ''))
        low, high = query.get('From', ''), query.get('To')
        limit = min(int(query.get('Limit', _MAX_ROWS)), _MAX_ROWS)
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == name
            and key[2] >= low
            and (high is None or key[2] < high)
        )
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if rows and size > _MAX_TX_BYTES:
                break
            rows.append(self._row(key, caller))
        return 200, {
            'rows': rows,
            'HasMore': len(rows) < len(keys),
            **self._stamp(),
        }

    def _parts(self, query):
        after = query.get('After', '')
        found = {key[1] for key in self.rows if key[0] == query['Table']}
        names = sorted(name for name in found if not after or name > after)
        return 200, {
            'parts': names[:_MAX_PARTS],
            'HasMore': len(names) > _MAX_PARTS,
            **self._stamp(),
        }

    async def _feed(self, query, caller):
        after, table = int(query.get('After', 0)), query['Table']
        until = time.monotonic() + int(query.get('WaitMs', 0)) / 1000
        while True:
            if after < self._first_kept:
                return 410, {}
            changes = self._changes(table, after)
            left = until - time.monotonic()
            if changes or left <= 0:
                break
            await wait_for(self._changed, left)
        rows = []
        for key, (version, body) in changes.items():
            if body is None:
                row = {'Table': key[0], 'part': key[1], 'Key': key[2]}
                row['Removed'] = True
            else:
                row = self._shown(key, body, caller)
            rows.append({**row, 'Ver': version})
        return 200, {'rows': rows, **self._stamp()}

    def _changes(self, table, after):
        """Return the newest change of each row of a table, oldest first."""
        found = {}
        for version, key, body in reversed(self._history):
            if version <= after:
                break
            if key[0] == table:
                found.setdefault(key, (version, body))
        return dict(reversed(found.items()))


def _key(row):
    return row['Table'], row.get('part', ''), row['Key']


def _refusal(keys, changed, puts):
    """Return the status of a transaction that is refused, or 0."""
    sizes = [len(body) for body in puts.values()]
    if len(keys) > _MAX_ENTRIES or sum(sizes) > _MAX_TX_BYTES or not keys:
        return 400
    if max(sizes, default=0) > _ROW_BYTES or len({key[1] for key in keys}) > 1:
        return 400
    return 403 if any(key[0] in _FORBIDDEN for key in changed) else 0
