"""The daemon process: its listeners, current node, start and shutdown."""

import logging
import secrets
import time

import trio

from cyclamentrack.errors import FencedError
from cyclamentrack.ids import DaemonId, Incarnation
from cyclamentrack.membership import Member
from cyclamentrack.messages import PeerMessage
from cyclamentrack.node import Node, Platform
from cyclamentrack_daemon.callers import CallerRoutes
from cyclamentrack_daemon.early_signals import EarlySignals
from cyclamentrack_daemon.operators import OperatorRoutes
from cyclamentrack_daemon.peering import PeerConnections, serve_peers
from cyclamentrack_daemon.platforms import connect_platform
from cyclamentrack_daemon.serving import serve_http
from cyclamentrack_daemon.settings import Settings
from cyclamentrack_daemon.signals import read_signals

_log = logging.getLogger(__name__)

_INCARNATION_BYTES = 6


class Daemon:
    """Serves callers, operators and peers through the current node."""

    def __init__(self, *, settings: Settings, signals: EarlySignals) -> None:
        """Prepare the daemon; listeners are opened by ``run``."""
        self._settings = settings
        self._signals = signals
        self._services = connect_platform(settings)
        self._draining = trio.Event()
        self._stop_listening = trio.Event()
        self._callers_served = trio.Event()
        self._node: Node | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        async with trio.open_nursery() as nursery:
            ending = trio.Event()
            await nursery.start(read_signals, self._signals, ending)
            peers = PeerConnections(nursery=nursery)
            self._node = self._new_node(peers)
            nursery.start_soon(self._run_nodes, peers)
            await nursery.start(
                serve_peers,
                self._settings.listen.peers,
                self._handle,
            )
            nursery.start_soon(self._serve_callers)
            nursery.start_soon(self._serve_operators)
            await ending.wait()
            await self._shut_down()
            nursery.cancel_scope.cancel()

    def node(self) -> Node:
        """Return the current node."""
        if self._node is None:
            raise RuntimeError('the daemon has not started')
        return self._node

    def _new_node(self, peers: PeerConnections) -> Node:
        settings = self._settings
        name = DaemonId(settings.instance.name)
        incarnation = secrets.token_hex(_INCARNATION_BYTES)
        return Node(
            platform=Platform(
                table=self._services.table,
                store=self._services.store,
                instances=self._services.instances,
                workers=self._services.workers,
                peers=peers,
            ),
            me=Member(
                daemon=name,
                incarnation=Incarnation(incarnation),
                peer=settings.listen.peers,
                zone=settings.instance.zone,
            ),
            wall_clock=time.time,
            partitions=settings.cell.partitions,
        )

    async def _run_nodes(self, peers: PeerConnections) -> None:
        """Run a node, replacing it with a new one whenever it is fenced."""
        while True:
            try:
                await self.node().run()
            except* FencedError as fenced:
                _log.warning(
                    'joining again as a new incarnation: %s',
                    fenced.exceptions[0],
                )
            if self._draining.is_set():
                return
            self._node = self._new_node(peers)

    async def _handle(self, message: PeerMessage) -> PeerMessage:
        self.node().metrics.count('peer_requests')
        return await self.node().handle(message)

    async def _serve_callers(self) -> None:
        routes = CallerRoutes(node=self.node, draining=self._draining)
        await serve_http(
            routes.app(),
            self._settings.listen.callers,
            shutdown=self._stop_listening.wait,
        )
        self._callers_served.set()

    async def _serve_operators(self) -> None:
        await serve_http(
            OperatorRoutes(node=self.node).app(),
            self._settings.listen.operators,
            shutdown=self._callers_served.wait,
        )

    async def _shut_down(self) -> None:
        """Hand over partitions, finish requests in flight, then leave."""
        self._draining.set()
        await self.node().drain()
        self._stop_listening.set()
        await self._callers_served.wait()
        await self.node().leave()
        _log.info('drained: all requests in flight are answered')
