"""A daemon restarts when the claims of the leases have left the log."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lib'))
import world as lib  # noqa: E402

# The value under Platform in the settings; 300 in the example of DEPLOY.md.
RETENTION_S = float(os.environ.get('RETENTION_S', '60'))
# Results are kept for less than the log.
STATUS_S = int(0.4 * RETENTION_S)
MODELS = ('m0', 'm1')
GROUPS, SIZE = 6, 4
EVERY_S = 4.0
BUDGET_S = 12.0
LEASE_TTL_S = 3.0
STABLE_S = 3.0
OVERLAP_S = 0.4
AFTER_S = 20.0


async def train(world, model):
    """Asks for a step each four seconds, once its version is named."""
    step = 2
    while True:
        started_s = world.record.now()
        await world.store.name_version(model, step)
        job = f'{model}s{step:03d}'
        prefix = f'/{model}/'
        body = lib.make_job(job, prefix, model, step, step - 1, GROUPS, SIZE)
        trainer = lib.Trainer(world, job, prefix, body)
        await call_until_answered(trainer.submit, world.daemons)
        await trainer.read_until(world.daemons, started_s + BUDGET_S)
        await call_until_answered(trainer.end, world.daemons)
        step += 1
        await asyncio.sleep(max(0.5, started_s + EVERY_S - world.record.now()))


async def call_until_answered(call, daemons):
    """Calls at one daemon after the other until one answers."""
    for number in range(8):
        try:
            if await call(daemons[number % len(daemons)]) in (200, 202):
                return
        except (OSError, EOFError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.3)


def find_turns(orders, from_s):
    """Orders of two machines to one replica within the lease time."""
    turns = []
    last = {}
    for at_s, replica, holder, fence, _ in orders:
        before = last.get(replica)
        if (
            before is not None
            and before[1] != holder
            and before[0] >= from_s
            and at_s - before[0] < LEASE_TTL_S
        ):
            turns.append((replica, before[1], holder, round(at_s, 2)))
        last[replica] = at_s, holder
    return turns


def find_twins(world, from_s):
    """Items that run at two replicas at once for longer than 400 ms."""
    twins = set()
    open_runs = {}
    times = [(at, 1, r, i) for at, r, i in world.runs]
    times += [(at, 0, r, i) for at, r, i, _ in world.ends]
    spans = []
    for at_s, is_start, replica, item in sorted(times):
        if is_start:
            open_runs.setdefault((replica, item), []).append(at_s)
        else:
            started_s = open_runs[replica, item].pop(0)
            spans.append((item, started_s, at_s, replica))
    by_item = {}
    for item, start_s, end_s, replica in spans:
        for other_start_s, other_end_s, other in by_item.get(item, ()):
            overlap_s = min(end_s, other_end_s) - max(start_s, other_start_s)
            if (
                other != replica
                and overlap_s > OVERLAP_S
                and min(start_s, other_start_s) >= from_s
            ):
                twins.add(item)
        by_item.setdefault(item, []).append((start_s, end_s, replica))
    return twins


async def case(world, has_trouble):
    world.store.retention_s = RETENTION_S
    world.status_s = STATUS_S
    for number in range(6):
        await world.add(lib.Engine(world, f'e{number}', MODELS))
    routes = [
        lib.make_route(
            model,
            f'/{model}/',
            'rollout',
            'engines',
            Resumable=True,
            Sticky=True,
        )
        for model in MODELS
    ]
    await world.store.publish(lib.make_text(7, routes, MODELS))
    await world.start_daemons(3)
    holders = {await world.find_holder('orders/engines')}
    for model in MODELS:
        holders.add(await world.find_holder(f'jobs/{model}'))
    claimed_s = world.record.now()
    training = [asyncio.ensure_future(train(world, model)) for model in MODELS]
    await asyncio.sleep(RETENTION_S + 3)
    names = sorted(d.name for d in holders)
    world.record.write('judge', f'holders by their logs: {names}')
    victim = next(d for d in world.daemons if d not in holders)
    if has_trouble:
        await victim.kill()
        await asyncio.sleep(1.0)
        await victim.start()
    started_s = world.record.now()
    await asyncio.sleep(AFTER_S)
    for task in training:
        task.cancel()
    for daemon in world.daemons:
        claims = [
            (event['duty'], event['term'], event['previous'])
            for event in daemon.events('duty_claimed')
        ]
        world.record.write(daemon.name, f'claimed, by its log: {claims}')
    from_s = started_s + STABLE_S
    turns = find_turns(world.orders, from_s)
    twins = find_twins(world, from_s)
    refused = [o for o in world.orders if o[4] == 412]
    ordering = sorted({o[2] for o in world.orders if o[0] >= from_s})
    text = (
        f'after {started_s + STABLE_S:.1f} s, with all machines in touch,'
        f' orders came from {ordering}; two machines took turns at a replica'
        f' within {LEASE_TTL_S:.0f} s {len(turns)} times: {turns[:6]};'
        f' {len(refused)} orders were refused with 412; {len(twins)} items'
        f' ran at two replicas at once for over {OVERLAP_S} s'
    )
    world.record.write('judge', f'claimed by {claimed_s:.1f} s; {text}')
    return bool(turns), text


lib.run_case(
    case, pathlib.Path(__file__).with_name('record.txt'), RETENTION_S + 50
)
