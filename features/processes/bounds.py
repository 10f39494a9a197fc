"""The figures of the deployment that the soak plays."""

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
CAPACITY = 16000
MAX_ATTEMPTS = 3
CONTACT_S = 3.0
VISIBLE_S = 3.0
FINISH_S = 14.0
CANCEL_S = 3.0
DRAIN_S = 2.0
GRACE_S = 6.0
GANG_TIMEOUT_S = 3.0

# Those that the settings name for a node.
BOUNDS = {
    'DrainMs': 1000 * DRAIN_S,
    'GraceS': GRACE_S,
    'HoldMaxMs': HOLD_MAX_MS,
    'status_s': 120,
}
ADVICE = {'DecideMs': 13.0, 'EachMs': 0.19, 'ValidMs': 2000}
