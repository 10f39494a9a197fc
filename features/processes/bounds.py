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
GANG_TIMEOUT_S = 3.0

BOUNDS = {
    'SeedLagS': 3,
    'ReuseAfterS': 2,
    'ContactMs': 1000 * CONTACT_S,
    'AckMs': 4000,
    'CatchUpS': 4,
    'DrainMs': 1000 * DRAIN_S,
    'GraceS': 6,
    'LossSlackMs': 200,
    'ConfigApplyMs': 2000,
    'RollbackSlackMs': 250,
    'MaxStretchMs': 5000,
    'RecoverS': 12,
    'HoldMaxMs': HOLD_MAX_MS,
    'StopTimeoutMs': 900,
    'GangTimeoutMs': 1000 * GANG_TIMEOUT_S,
    'cancel_ms': 1000 * CANCEL_S,
    'visible_ms': 1000 * VISIBLE_S,
    'early_ms': 250,
    'finish_s': FINISH_S,
    'status_s': 120,
    'FarX': 2,
    'CheckpointS': 0.5,
    'RestoreMs': 250,
    'LeaseMs': 3000,
    'ThawSlackMs': 300,
    'PaceMs': 100,
    'HarmMs': 4000,
}
ADVICE = {'DecideMs': 13.0, 'EachMs': 0.19, 'ValidMs': 2000}
