"""The job cell: jobs of steps and tasks, on workers that others list.

A pool of workers and the jobs of its queues form a slice with one owner at a
time. ``cell.JobCell`` is one node, ``service.JobService`` answers its callers,
and ``ports`` are the interfaces that a platform's adapter implements.
"""
