"""A replica is lost for good while a SingleVersion step runs."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lib'))
import world as lib  # noqa: E402

MODEL = 'm0'
PREFIX = '/coach/'
GROUPS, SIZE = 17, 4
# The trainer gives up this long after it has asked for the step.
BUDGET_S = 12.0
# RULES.md, LOST: 5 s at no replica; no version named in the 6 s before.
AT_NONE_S = 5.0
NAMED_BEFORE_S = 6.0


async def case(world, has_trouble):
    engines = [
        await world.add(lib.Engine(world, f'e{n}', [MODEL])) for n in range(6)
    ]
    route = lib.make_route(
        'coach',
        PREFIX,
        'rollout',
        'engines',
        SingleVersion=True,
        Resumable=True,
        Sticky=True,
    )
    await world.store.publish(lib.make_text(7, [route], [MODEL]))
    await world.start_daemons(3)
    await world.find_holder(f'jobs/{MODEL}')
    await world.find_holder('orders/engines')
    await asyncio.sleep(3)
    body = lib.make_job('a1', PREFIX, MODEL, 2, 1, GROUPS, SIZE)
    trainer = lib.Trainer(world, 'a1', PREFIX, body)
    # A mean of 25 events, and 8 in 100 that are five times as long.
    for number, item in enumerate(trainer.items):
        world.lengths[item] = 125 if number % 12 == 0 else 25
    named_s = await world.store.name_version(MODEL, 2)
    await asyncio.sleep(1.0)
    submitted_s = world.record.now()
    if await trainer.submit(world.daemons[0]) != 202:
        raise lib.CannotRunError('the step was not accepted')
    reading = asyncio.ensure_future(
        trainer.read_until(world.daemons, submitted_s + BUDGET_S)
    )

    def find_victim():
        """A replica with runs under version 1 when no other takes any."""
        old = [e for e in engines if e.versions[MODEL] == 1 and e.running]
        for engine in old:
            others = [e for e in engines if e is not engine]
            if all(e.versions[MODEL] == 2 or e.loading for e in others):
                return engine
        return None

    if has_trouble:
        victim = await world.wait_for(find_victim, 'a replica to lose', 6.0)
        await asyncio.sleep(0.3)
        lost = sorted(victim.running.values())
        world.record.write('trouble', f'{victim.replica_id} runs {lost}')
        victim.crash()
    await reading
    end_s = submitted_s + BUDGET_S
    await trainer.end(world.daemons[0])
    finished = {item for _, _, item, is_done in world.ends if is_done}
    starved = []
    for item in trainer.items:
        if item in finished:
            continue
        last_s = max((e[0] for e in world.ends if e[2] == item), default=0)
        ran = any(item in e.running.values() for e in engines)
        since_s = max(last_s, named_s + NAMED_BEFORE_S)
        if not ran and end_s - since_s >= AT_NONE_S:
            starved.append((item, round(last_s, 2)))
    busy = sum(len(e.running) for e in engines)
    world.record.write(
        'judge',
        f'{len(finished)} of {len(trainer.items)} items finished at a'
        f' replica, {len(trainer.results)} listed; {busy} run at the end;'
        f' at no replica since: {starved}',
    )
    if not has_trouble and len(trainer.results) < len(trainer.items):
        return True, 'items are missing without trouble'
    return bool(starved), (
        f'{len(starved)} items of the step were at no replica for at least'
        f' {AT_NONE_S:.0f} s until its end at {end_s:.1f} s: {starved}'
    )


lib.run_case(case, pathlib.Path(__file__).with_name('record.txt'))
