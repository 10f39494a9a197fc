"""Steps about permits that take long to get and expire soon."""

from behave import given, then, when

from cyclamentrack.ids import WorkerId
from cyclamentrack.jobs.model import JobId
from features.harness.jobworld import JobWorld, make_queue, make_step
from features.harness.waits import check_random_cells


@given(
    'a pool of {workers:d} workers and {nodes:d} nodes whose gang permits '
    'take {decide_s:g} second and expire after {valid_s:g}'
)
@given(
    'a pool of {workers:d} workers and {nodes:d} nodes whose gang permits '
    'take {decide_s:g} seconds and expire after {valid_s:g}'
)
def start_slow_permits(context, workers, nodes, decide_s, valid_s):
    world = JobWorld()
    context.jobs = world
    context.add_cleanup(world.close)
    context.submitted = []
    world.permit_service.decide_s = decide_s
    world.permit_service.valid_s = valid_s
    world.configure(
        make_queue('gangs', priority=1, permits=decide_s, valid_s=valid_s),
        make_queue('batch', priority=2),
    )
    for number in range(workers):
        world.add_worker(number)
    for number in range(nodes):
        world.start_node(f'n{number}')
    world.loop.sleep(3)


@given('the next job may run on 2 workers in each 30')
def permit_some(context):
    names = sorted(context.jobs.workers.workers)
    context.jobs.permit_service.permitted[context.jobs.next_job] = {
        names[start + place]
        for start in range(0, len(names), 30)
        for place in (4, 17)
    }


@given(
    'the next job may run on {count:d} workers that become free from '
    '{first:g} to {last:g} seconds from now on'
)
def occupy_some(context, count, first, last):
    world = context.jobs
    gap_s = (last - first) / (count - 1)
    for number in range(12):
        work_s = first + gap_s * number if number < count else last + 9
        step = make_step(1, cores=16, estimate=work_s)
        world.submit(step, queue='batch', work_s=work_s)
    world.loop.sleep(0.1)
    workers = {task: worker for _, task, _, worker in world.workers.starts}
    world.permit_service.permitted[world.next_job] = {
        workers[task] for task in sorted(workers)[:count]
    }


@given('the permit service leaves the calls of {count:d} nodes unanswered')
def silence_permits(context, count):
    world = context.jobs
    others = sorted(set(world.cells) - {world.owner()})
    for name in others[:count]:
        world.permit_clients[name].unanswered = True


@when('{count:d} gangs of 2 tasks are submitted, one each {gap_s:g} seconds')
def submit_gangs(context, count, gap_s):
    world = context.jobs
    context.gangs = {}
    for _ in range(count):
        step = make_step(2, gang=True)
        job = world.submit(step, queue='gangs', work_s=0.5)[0]
        context.gangs[JobId(job)] = world.loop.run(world.now)
        world.loop.sleep(gap_s)


@then('the last {count:d} gangs have started within {seconds:g} second')
def check_gangs_started(context, count, seconds):
    started = {}
    for at, task, _, worker in context.jobs.workers.starts:
        started.setdefault(task.job, (at, WorkerId(worker)))
    for job, submitted in list(context.gangs.items())[-count:]:
        assert job in started, f'{job} has not started'
        assert started[job][0] - submitted <= seconds, (job, started[job])


@then(
    'in {cells:d} random cells nothing waits {seconds:g} seconds while '
    'twice its capacity is free'
)
def check_waits(context, cells, seconds):
    del context
    check_random_cells(examples=cells, limit_s=seconds)
