"""The workers of the partitions that this daemon owns.

The fleet grants reservations, starts confirmed attempts, records their ends
and reports them to the owner of their work. Nothing of it is stored: what a
worker runs is read from the worker's full report when the worker is fenced.
"""

import logging
from collections.abc import Callable

import trio

from cyclamentrack import defaults
from cyclamentrack.errors import StoreUncertainError
from cyclamentrack.health import Health
from cyclamentrack.ids import (
    AttemptId,
    DaemonId,
    Epoch,
    PartitionId,
    WorkerId,
    is_lookup,
)
from cyclamentrack.ledger import Ledger
from cyclamentrack.messages import (
    AttemptEnd,
    AttemptRequest,
    AttemptStates,
    Confirm,
    Confirmation,
    Confirmed,
    Grant,
    Release,
    Reserve,
    Reserved,
    Revocation,
    Revoke,
    Site,
)
from cyclamentrack.placement import place
from cyclamentrack.ports import (
    AttemptPhase,
    AttemptReport,
    Instance,
    Instances,
    InstanceState,
    StartCommand,
    Usage,
    Workers,
)
from cyclamentrack.reservations import ReservationTable
from cyclamentrack.upstream import Upstream, UpstreamEvents, UpstreamState
from cyclamentrack.work import Outcome, partition_of

_log = logging.getLogger(__name__)

_EXPIRY_INTERVAL_S = 1.0
# After this time the lease that any earlier owner gave a worker has expired.
_LOST_AFTER_S = (
    defaults.OUTAGE_GRACE_S
    + defaults.WORKER_LEASE_S
    + defaults.WORKER_LEASE_MARGIN_S
)


class Fleet:
    """Ledger, reservations and connections of the workers owned here."""

    def __init__(
        self,
        *,
        workers: Workers,
        instances: Instances,
        owner: DaemonId,
        partitions: int,
        capacity_changed: Callable[[], None],
        listed: Callable[[list[Instance]], None],
        may_renew: Callable[[], bool],
        tombstones: bool = True,
    ) -> None:
        """Own no workers yet.

        ``capacity_changed`` is called after each release, and ``listed`` with
        each new instance list.
        """
        self._on_listed = listed
        self._may_renew = may_renew
        self._workers = workers
        self._instances = instances
        self._owner = owner
        self._partitions = partitions
        self._capacity_changed = capacity_changed
        self._nursery: trio.Nursery | None = None
        self._epochs: dict[PartitionId, Epoch] = {}
        self._owned_since: dict[PartitionId, float] = {}
        self._listed: dict[WorkerId, Instance] = {}
        self._upstreams: dict[WorkerId, Upstream] = {}
        self._started: dict[AttemptId, WorkerId] = {}
        self._workloads: dict[AttemptId, str] = {}
        self._ends: dict[AttemptId, AttemptEnd] = {}
        self._end_workers: dict[AttemptId, WorkerId] = {}
        self.reservations = ReservationTable(tombstones=tombstones)
        self.ledger = Ledger()
        self.health = Health()
        self.ends_changed = trio.Event()

    @property
    def upstreams(self) -> list[Upstream]:
        """The connections to the workers owned here."""
        return list(self._upstreams.values())

    @property
    def running(self) -> int:
        """The number of attempts that run on the workers owned here."""
        return len(self._started)

    async def run(self) -> None:
        """Read the instance list and expire reservations until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._expire_forever)
            while True:
                await self._read_instances()
                await trio.sleep(defaults.INSTANCES_INTERVAL_S)

    def acquire_partition(self, partition: PartitionId, epoch: Epoch) -> None:
        """Own a partition's workers and connect to them."""
        self._epochs[partition] = epoch
        self._owned_since[partition] = trio.current_time()
        self._connect_listed()

    def close(self, partition: PartitionId) -> None:
        """Stop placing on a partition's workers, before its release."""
        for upstream in self._upstreams.values():
            if self.partition(upstream.instance.rack) == partition:
                upstream.leaving = True
                self._open_or_close(upstream)

    def release_partition(self, partition: PartitionId) -> None:
        """Give up a partition's workers and disconnect from them."""
        self._epochs.pop(partition, None)
        self._owned_since.pop(partition, None)
        for worker, upstream in list(self._upstreams.items()):
            if self.partition(upstream.instance.rack) == partition:
                self._disconnect(worker)

    def partition(self, rack: str) -> PartitionId:
        """Return the partition of a rack."""
        return partition_of(rack, self._partitions)

    def upstream(self, worker: WorkerId) -> Upstream | None:
        """Return the connection to a worker owned here, or ``None``."""
        return self._upstreams.get(worker)

    def stop_lookup(self, key: AttemptId, worker: WorkerId) -> None:
        """Stop a lookup that got no answer.

        Its slot stays taken until the worker confirms that it doesn't run.
        """
        upstream = self._upstreams.get(worker)
        if upstream is not None and self.ledger.find_allocation(key):
            self._started[key] = worker
            upstream.stop(key)

    def release_allocation(self, key: str) -> None:
        """Release the capacity that is allocated to an attempt or lookup."""
        self.ledger.release(AttemptId(key))
        self._capacity_changed()

    # Reservations

    def reserve(self, request: Reserve) -> Reserved:
        """Reserve capacity for as many needs as fit.

        Needs that were granted before are granted again.
        """
        if self.reservations.is_stale(request.origin):
            return Reserved(grants=[])
        needs = [need for need in request.needs if self._is_new(need.attempt)]
        choices = place(self.ledger, needs, partial=request.partial)
        grants = self._existing_grants(request.needs)
        for choice in choices:
            self.reservations.grant(
                need=choice.need,
                site=choice.site,
                origin=request.origin,
            )
            grants.append(
                Grant(attempt=choice.need.attempt, site=choice.site),
            )
        return Reserved(grants=grants)

    def release(self, request: Release) -> None:
        """Cancel reservations; a late reserve of these attempts is refused."""
        if self.reservations.is_stale(request.origin):
            return
        for attempt in request.attempts:
            reservation = self.reservations.cancel(attempt)
            if reservation is not None:
                self.release_allocation(reservation.need.attempt)

    def confirm(self, request: Confirm) -> Confirmed:
        """Start reserved attempts; return the ones that can't be started."""
        stale = self.reservations.is_stale(request.origin)
        refused = [
            entry.attempt
            for entry in request.confirmations
            if stale or not self._start(entry, request)
        ]
        return Confirmed(refused=refused)

    def revoke(self, request: Revoke) -> AttemptStates:
        """Return what is known of attempts, and stop them if requested.

        An attempt that hasn't started is barred from starting.
        """
        ended: list[AttemptEnd] = []
        running: list[AttemptId] = []
        if self.reservations.is_stale(request.origin):
            return AttemptStates(ended=[], running=[])
        for entry in request.revocations:
            known = self._resolve(entry)
            if known is not None:
                ended.append(known)
            elif entry.attempt in self._started:
                running.append(entry.attempt)
        return AttemptStates(ended=ended, running=running)

    # Ends

    def ends(self) -> list[AttemptEnd]:
        """Return the ends that the owner of the work hasn't recorded yet."""
        return list(self._ends.values())

    def forget(self, attempts: list[AttemptId]) -> None:
        """Drop ends that the owner of the work has recorded."""
        for attempt in attempts:
            self._ends.pop(attempt, None)
            worker = self._end_workers.pop(attempt, None)
            upstream = self._upstreams.get(worker) if worker else None
            if upstream is not None:
                upstream.forget(attempt)

    # Instances

    async def _read_instances(self) -> None:
        try:
            listed = await self._instances.list()
        except StoreUncertainError:
            _log.info('cannot read the instance list, will retry')
            return
        self._listed = {instance.id: instance for instance in listed}
        self._on_listed(listed)
        self._connect_listed()

    def _connect_listed(self) -> None:
        """Connect to listed workers of owned partitions; drop lost ones."""
        for instance in self._listed.values():
            upstream = self._upstreams.get(instance.id)
            if upstream is None:
                self._connect(instance)
            elif instance.state is InstanceState.LEAVING:
                upstream.leaving = True
                self._open_or_close(upstream)
        for worker, upstream in list(self._upstreams.items()):
            gone = worker not in self._listed
            if gone and upstream.state is UpstreamState.LOST:
                self._disconnect(worker)

    def _connect(self, instance: Instance) -> None:
        epoch = self._epochs.get(self.partition(instance.rack))
        if epoch is None or self._nursery is None:
            return
        upstream = Upstream(
            workers=self._workers,
            instance=instance,
            epoch=epoch,
            owner=self._owner,
            events=UpstreamEvents(
                fenced=self._on_fenced,
                reported=self._on_reported,
                used=self._on_used,
                state_changed=self._on_state,
            ),
            lost_after_s=_LOST_AFTER_S,
            may_renew=self._may_renew,
        )
        self._upstreams[instance.id] = upstream
        self.ledger.add(instance, boot=upstream.boot)
        self._nursery.start_soon(upstream.run)

    def _disconnect(self, worker: WorkerId) -> None:
        upstream = self._upstreams.pop(worker)
        upstream.close()
        for key in self.ledger.allocations_on(worker):
            self._started.pop(AttemptId(key), None)
            self.reservations.remove(AttemptId(key))
        self.ledger.remove(worker)

    # Reports of workers

    def _on_fenced(
        self, upstream: Upstream, reports: list[AttemptReport]
    ) -> None:
        """Compare a worker's full report with the allocations there.

        An attempt that has an allocation but isn't reported is lost if the
        worker rebooted, and never started otherwise. The allocation of a
        lookup stays unless the worker rebooted.
        """
        worker = upstream.instance.id
        row = self.ledger.row(worker)
        if row is None:
            return
        rebooted = bool(row.boot) and row.boot != upstream.boot
        reported = {report.attempt for report in reports}
        for key in self.ledger.allocations_on(worker):
            attempt = AttemptId(key)
            if attempt in reported or (is_lookup(attempt) and not rebooted):
                continue
            self.reservations.remove(attempt)
            outcome = Outcome.LOST if rebooted else Outcome.NEVER
            self._finish(attempt, worker, outcome)
        row.boot = upstream.boot
        self._on_reported(upstream, reports)

    def _on_reported(
        self, upstream: Upstream, reports: list[AttemptReport]
    ) -> None:
        worker = upstream.instance.id
        if self._upstreams.get(worker) is not upstream:
            return
        for report in reports:
            self._on_report(worker, report)
        self._update_running(worker)

    def _on_report(self, worker: WorkerId, report: AttemptReport) -> None:
        match report.phase:
            case AttemptPhase.RUNNING:
                if self.ledger.find_allocation(report.attempt) is None:
                    self.ledger.allocate(
                        report.attempt,
                        worker=worker,
                        resources=report.resources,
                    )
                self._started[report.attempt] = worker
            case AttemptPhase.ENDED:
                self._record_health(worker, report)
                self._finish(
                    report.attempt,
                    worker,
                    report.outcome,
                    report.answer,
                )
            case AttemptPhase.BARRED | AttemptPhase.REFUSED:
                self._finish(report.attempt, worker, Outcome.NEVER)

    def _on_used(self, upstream: Upstream, usages: list[Usage]) -> None:
        for usage in usages:
            allocation = self.ledger.find_allocation(usage.attempt)
            if allocation and not usage.used.fits(allocation.resources):
                upstream.throttle(usage.attempt)

    def _record_health(self, worker: WorkerId, report: AttemptReport) -> None:
        workload = self._workloads.get(report.attempt, '')
        self.health.record_end(worker, workload, report.outcome)
        if self.health.is_quarantined(worker):
            _log.warning(
                'worker %s is quarantined: '
                'workloads that fail there succeed elsewhere',
                worker,
            )
            self.ledger.close(worker)

    def _open_or_close(self, upstream: Upstream) -> None:
        worker = upstream.instance.id
        if upstream.open and not self.health.is_quarantined(worker):
            self.ledger.open(worker, boot=upstream.boot)
        else:
            self.ledger.close(worker)

    def _on_state(self, upstream: Upstream) -> None:
        worker = upstream.instance.id
        if self._upstreams.get(worker) is not upstream:
            return
        self._open_or_close(upstream)
        if upstream.state is UpstreamState.LOST:
            for key in self.ledger.allocations_on(worker):
                self.reservations.remove(AttemptId(key))
                self._finish(AttemptId(key), worker, Outcome.LOST)
        self._capacity_changed()

    # Ends of attempts

    def _finish(
        self,
        attempt: AttemptId,
        worker: WorkerId,
        outcome: Outcome,
        answer: str = '',
    ) -> None:
        """Release an attempt's capacity and record its end for its owner."""
        self._started.pop(attempt, None)
        self._workloads.pop(attempt, None)
        released = self.ledger.release(attempt)
        if released is not None:
            self._update_running(worker)
            self._capacity_changed()
        if is_lookup(attempt):
            self._forget_lookup(attempt, worker)
            return
        self._end_workers[attempt] = worker
        self._ends[attempt] = AttemptEnd(
            attempt=attempt,
            outcome=outcome,
            answer=answer,
        )
        self.ends_changed.set()

    def _forget_lookup(self, attempt: AttemptId, worker: WorkerId) -> None:
        upstream = self._upstreams.get(worker)
        if upstream is not None:
            upstream.forget(attempt)

    def _resolve(self, entry: Revocation) -> AttemptEnd | None:
        attempt = entry.attempt
        if attempt in self._ends:
            return self._ends[attempt]
        if attempt in self._started:
            if entry.stop:
                self._upstreams[self._started[attempt]].stop(attempt)
            return None
        reservation = self.reservations.cancel(attempt)
        if reservation is not None:
            self.release_allocation(reservation.need.attempt)
            return AttemptEnd(attempt=attempt, outcome=Outcome.NEVER)
        return self._resolve_unknown(attempt, entry.site)

    def _resolve_unknown(
        self, attempt: AttemptId, site: Site
    ) -> AttemptEnd | None:
        """Return the end of an attempt unknown here, if it is certain.

        A fenced worker has reported all its attempts, and nothing runs on a
        lost worker any more. While the worker is in any other state the end
        is not known.
        """
        upstream = self._upstreams.get(site.worker)
        if upstream is None:
            return self._resolve_unlisted(attempt, site)
        if upstream.state is UpstreamState.LOST:
            return AttemptEnd(attempt=attempt, outcome=Outcome.LOST)
        if upstream.state is not UpstreamState.READY:
            return None
        if upstream.boot != site.boot:
            return AttemptEnd(attempt=attempt, outcome=Outcome.LOST)
        return AttemptEnd(attempt=attempt, outcome=Outcome.NEVER)

    def _resolve_unlisted(
        self, attempt: AttemptId, site: Site
    ) -> AttemptEnd | None:
        """Return the end of an attempt whose worker is no longer listed.

        Its lease is certain to have expired ``_LOST_AFTER_S`` after this
        daemon acquired the partition; before that the end is not known.
        """
        since = self._owned_since.get(self.partition(site.rack))
        if since is None or site.worker in self._listed:
            return None
        if trio.current_time() - since < _LOST_AFTER_S:
            return None
        return AttemptEnd(attempt=attempt, outcome=Outcome.LOST)

    def _start(self, entry: Confirmation, request: Confirm) -> bool:
        reservation = self.reservations.find(entry.attempt)
        if reservation is None:
            return entry.attempt in self._started
        if reservation.origin.epoch != request.origin.epoch:
            return False
        self.reservations.remove(entry.attempt)
        worker = reservation.site.worker
        upstream = self._upstreams[worker]
        if upstream.state is not UpstreamState.READY:
            self.release_allocation(reservation.need.attempt)
            return False
        self._started[entry.attempt] = worker
        self._workloads[entry.attempt] = reservation.need.workload
        upstream.start(
            StartCommand(
                attempt=entry.attempt,
                resources=reservation.need.resources,
                run_s=reservation.need.run_s,
                payload=entry.payload,
            ),
        )
        self._update_running(worker)
        return True

    def _is_new(self, attempt: AttemptId) -> bool:
        return (
            not self.reservations.is_refused(attempt)
            and self.reservations.find(attempt) is None
            and self.ledger.find_allocation(attempt) is None
        )

    def _existing_grants(self, needs: list[AttemptRequest]) -> list[Grant]:
        """Return the grants of needs that have a reservation already."""
        existing = [self.reservations.find(need.attempt) for need in needs]
        return [
            Grant(attempt=entry.need.attempt, site=entry.site)
            for entry in existing
            if entry is not None
        ]

    async def _expire_forever(self) -> None:
        while True:
            await trio.sleep(_EXPIRY_INTERVAL_S)
            for reservation in self.reservations.expire():
                self.release_allocation(reservation.need.attempt)
            for worker in self.health.quarantined:
                if worker in self._upstreams:
                    self._open_or_close(self._upstreams[worker])

    def _update_running(self, worker: WorkerId) -> None:
        upstream = self._upstreams.get(worker)
        if upstream is not None:
            upstream.update_running(len(self.ledger.allocations_on(worker)))
