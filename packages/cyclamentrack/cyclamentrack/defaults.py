"""Defaults shared by the stages of the scheduler.

Names end with their unit: ``_S`` for seconds, ``_PER_S`` for rates,
``_BYTES``, ``_MIB`` and ``_MILLI_CORES``. Names without a unit are counts or
ratios.
"""

PARTITIONS = 64

# Membership: a daemon's lease, and how often owners are checked.
LEASE_S = 6.0
LEASE_MARGIN_S = 1.0
RENEW_INTERVAL_S = 1.5
CLAIM_INTERVAL_S = 1.0
RESCAN_INTERVAL_S = 10.0

# Worker leases. For OUTAGE_GRACE_S after its own lease expired, a daemon
# still renews those of its workers; a successor waits for that time as well
# before it considers a worker that doesn't answer lost.
WORKER_LEASE_S = 10.0
WORKER_LEASE_MARGIN_S = 1.0
WORKER_HEARTBEAT_S = 2.0
WORKER_CALL_TIMEOUT_S = 2.0
WORKER_WATCH_S = 5.0
WORKER_SYNC_BATCH = 512
OUTAGE_GRACE_S = 120.0
INSTANCES_INTERVAL_S = 1.0

# Table service. The journal may use JOURNAL_BUDGET_SHARE of the writes per
# second that all daemons of a cell share.
TABLE_TIMEOUT_S = 1.0
TABLE_RETRY_MIN_S = 0.05
TABLE_RETRY_MAX_S = 2.0
TABLE_WRITES_PER_S = 300
JOURNAL_BUDGET_SHARE = 0.6
JOURNAL_WINDOW_MIN_S = 0.02
JOURNAL_ROW_EVENTS = 2000
SNAPSHOT_INTERVAL_S = 30.0

# Calls between daemons.
PEER_CALL_TIMEOUT_S = 2.0
PEER_HEARTBEAT_S = 2.0
PEER_TIMEOUT_S = 3.0
SUMMARY_INTERVAL_S = 1.0
SUMMARY_PEERS = 4

# Reservations at the owner of a worker, and attempts in doubt.
RESERVATION_S = 10.0
TOMBSTONE_S = 60.0
RESOLVE_INTERVAL_S = 1.0

# Works: requests, queue and retries.
ACCEPT_DEADLINE_S = 5.0
LOOKUP_DEADLINE_S = 2.0
MAX_WAIT_S = 60.0
LOOKUP_SLOT_MILLI_CORES = 50
LOOKUP_SLOT_MEMORY_MIB = 32
DISPATCH_BATCH = 256
MAX_QUEUED_WORKS = 50_000
QUEUE_WAIT_S = 7200.0
MAX_ATTEMPTS = 3
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_MIN = 10
FINISHED_WORKS_LIMIT = 20_000

# Limits of one request.
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_ARRAY_ITEMS = 2000
MAX_PAYLOAD_BYTES = 16 * 1024
MAX_TASKS_PER_WORK = 2000

# Audit entries: how many are buffered, and how often they are written.
AUDIT_BUFFER = 10_000
AUDIT_FLUSH_S = 1.0

CONFIG_POLL_S = 1.0
DRAIN_LIMIT_S = 30.0
