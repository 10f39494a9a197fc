"""Disruptions from outside: signals, islands, links, workers and manifests."""

import asyncio
import contextlib
import signal

from features.processes.bounds import DRAIN_S, GRACE_S
from features.processes.cell import PLAIN, POOLS, ROUTES

_REFUSALS = (429, 503)
# Entries of another writer, which name no worker to use.
_ODD_ENTRIES = {
    'odd-0': b'\xff\x00 not text',
    'odd-1': b'[]',
    'odd-2': b'{"Service": "pool-a", "Address": 7, "State": "ready"}',
    'odd-3': b'{"Service": "pool-a", "Address": "127.0.0.1:1", "State": "odd"}',
}


class Disruptions:
    """Plays one disruption after or beside the other; each undoes itself."""

    def __init__(self, cell, random):
        self._cell = cell
        self._random = random
        self._routes = dict(ROUTES)
        self.kinds = (
            self.kill_node,
            self.kill_node,
            self.terminate_node,
            self.freeze_node,
            self.hang_up,
            self.part_owner,
            self.part_owner,
            self.part_nodes,
            self.part_workers,
            self.lose_store,
            self.refuse_store,
            self.reset_store,
            self.delay_links,
            self.reset_links,
            self.lose_power,
            self.lose_power,
            self.fail_all,
            self.drain_worker,
            self.move_route,
            self.take_route_out,
            self.take_service_out,
            self.add_odd_entries,
            self.forget_history,
        )

    async def kill_node(self, seconds):
        node = self._any_node()
        async with self._outage(node):
            node.send(signal.SIGKILL)
            await asyncio.sleep(seconds)

    async def terminate_node(self, seconds):
        del seconds
        node = self._any_node()
        async with self._outage(node):
            node.send(signal.SIGTERM)
            await asyncio.sleep(GRACE_S)
            node.send(signal.SIGKILL)

    async def freeze_node(self, seconds):
        node = self._any_node()
        with self._disturbed(node.name):
            node.send(signal.SIGSTOP)
            await asyncio.sleep(2 * seconds)
            node.send(signal.SIGCONT)

    async def hang_up(self, seconds):
        del seconds
        self._any_node().send(signal.SIGHUP)

    async def part_owner(self, seconds):
        """Part the owner of a pool with some of its workers from all others."""
        pool = self._random.choice((POOLS[0], POOLS[0], POOLS[1]))
        await self.part_owner_of(pool, 4 * seconds)

    async def part_owner_of(self, pool, seconds):
        names = [one.name for one in self._cell.workers if one.pool == pool]
        count = self._random.randint(1, min(4, len(names)))
        workers = self._random.sample(names, count)
        await self._part([self._cell.owner(pool).name, *workers], seconds)

    async def part_nodes(self, seconds):
        count = self._random.randint(1, 2)
        names = self._random.sample(sorted(self._cell.nodes), count)
        await self._part(names, 2 * seconds)

    async def part_workers(self, seconds):
        count = self._random.randint(1, 3)
        await self._part(self._some_workers(count), 3 * seconds)

    async def lose_store(self, seconds):
        with self._disturbed(''):
            await self._part(['store'], 2 * seconds)

    async def refuse_store(self, seconds):
        """Let the store refuse some of the nodes."""
        count = self._random.randint(1, 3)
        names = self._random.sample(sorted(self._cell.nodes), count)
        refusal = self._random.choice(_REFUSALS)
        with self._disturbed(*names):
            self._cell.store.refusals.update(dict.fromkeys(names, refusal))
            await asyncio.sleep(2 * seconds)
            for name in names:
                self._cell.store.refusals.pop(name, None)

    async def reset_store(self, seconds):
        links = self._cell.links.of(target='store')
        with self._disturbed(''):
            for link in links:
                link.resetting = True
                link.reset()
            await asyncio.sleep(seconds)
            for link in links:
                link.resetting = False

    async def delay_links(self, seconds):
        """Slow all links down that lead to one worker or to the store."""
        target = self._random.choice(['store', *self._some_workers(3)])
        with self._disturbed('' if target == 'store' else target):
            for link in self._cell.links.of(target=target):
                link.delay_s = seconds / 5
            await asyncio.sleep(2 * seconds)
            for link in self._cell.links.of(target=target):
                link.delay_s = 0

    async def reset_links(self, seconds):
        """Reset all that one node has opened."""
        del seconds
        name = self._any_node().name
        with self._disturbed(name):
            for link in self._cell.links.of(caller=name):
                link.reset()

    async def lose_power(self, seconds):
        """Let workers lose power, and begin again as before or as another."""
        count = self._random.randint(1, 3)
        new_id = self._random.random() < 1 / 3
        workers = [one for one in self._workers(count) if one.life.up]
        names = [worker.name for worker in workers]
        with self._disturbed(*names):
            island = [self._cell.links.part([name]) for name in names]
            for worker in workers:
                worker.lose_power()
            await asyncio.sleep(seconds)
            for worker, one in zip(workers, island, strict=True):
                worker.begin_again(new_id=new_id)
                self._cell.links.heal(one)

    async def fail_all(self, seconds):
        workers = self._workers(self._random.randint(1, 2))
        for worker in workers:
            worker.fails_all = True
        await asyncio.sleep(seconds)
        for worker in workers:
            worker.fails_all = False

    async def drain_worker(self, seconds):
        """Let a worker say that it drains, leave, and come as another."""
        worker = self._workers(1)[0]
        life = worker.life
        if worker.draining or not life.up:
            return
        worker.draining = True
        worker.register()
        self._cell.judge.drains(life)
        await asyncio.sleep(DRAIN_S + seconds)
        if worker.life is not life or not life.up:
            return
        with self._disturbed(worker.name):
            worker.lose_power()
            self._cell.store.remove('servers', worker.id)
            await asyncio.sleep(1)
            worker.begin_again(new_id=True)

    async def move_route(self, seconds):
        """Take a route out, and put it back with another service."""
        await self._take_out(PLAIN, seconds, self._random.choice(POOLS))

    async def take_route_out(self, seconds):
        prefix = self._random.choice(sorted(ROUTES))
        await self._take_out(prefix, seconds, ROUTES[prefix])

    async def take_service_out(self, seconds):
        """Take the second service out for a while, and kill its owner."""
        first, second = POOLS
        self._cell.configure(dict.fromkeys(self._routes, first), pools=[first])
        await asyncio.sleep(seconds)
        node = self._cell.owner(second)
        async with self._outage(node):
            node.send(signal.SIGKILL)
            await asyncio.sleep(seconds)
        self._cell.configure(self._routes)

    async def add_odd_entries(self, seconds):
        store = self._cell.store
        for name, body in _ODD_ENTRIES.items():
            store.put('servers', name, body)
        await asyncio.sleep(seconds)
        for name in _ODD_ENTRIES:
            store.remove('servers', name)

    async def forget_history(self, seconds):
        del seconds
        self._cell.store.forget_history()

    async def _take_out(self, prefix, seconds, pool):
        self._routes.pop(prefix, None)
        self._cell.configure(self._routes)
        await asyncio.sleep(seconds)
        self._routes[prefix] = pool
        self._cell.configure(self._routes)

    async def _part(self, names, seconds):
        self._cell.judge.record(f'{names} are an island')
        island = self._cell.links.part(names)
        with self._disturbed(*names):
            await asyncio.sleep(seconds)
            self._cell.links.heal(island)
        self._cell.judge.record(f'{names} are no island any more')

    def _any_node(self):
        """Return an owner or another node, an owner more often."""
        owner = self._cell.owner(self._random.choice(POOLS))
        return self._random.choice([*self._cell.nodes.values(), owner, owner])

    def _workers(self, count):
        return self._random.sample(self._cell.workers, count)

    def _some_workers(self, count):
        return [worker.name for worker in self._workers(count)]

    @contextlib.contextmanager
    def _disturbed(self, *names):
        touch = self._cell.judge.touch
        for name in names:
            touch.disturb(name)
        try:
            yield
        finally:
            for name in names:
                touch.calm(name)

    @contextlib.asynccontextmanager
    async def _outage(self, node):
        """Keep a node down meanwhile, and start it again."""
        with self._disturbed(node.name):
            node.outages += 1
            try:
                yield
            finally:
                node.outages -= 1
            await asyncio.sleep(1)
