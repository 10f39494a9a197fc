"""How much work one job may bring."""

# The largest job of any queue; its tasks take about 2 MiB.
MAX_JOB_TASKS = 10_000
"""How many tasks a job may have in all of its steps together."""
