"""The job cell: jobs of steps and tasks, on workers that a platform lists.

A pool of workers and the jobs of its queues form a slice, which has one owner
at a time. ``cell.JobCell`` is one node, ``service.JobService`` answers its
callers, and ``ports`` holds the interfaces that a platform's adapter
implements.
"""
