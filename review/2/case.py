"""A step is asked on a new route while one daemon's connection is silent."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / 'lib'))
import world as lib  # noqa: E402

MODEL = 'm0'
GROUPS, SIZE = 10, 4
BUDGET_S = 12.0


async def case(world, has_trouble):
    for number in range(6):
        await world.add(lib.Engine(world, f'e{number}', [MODEL]))
    old = lib.make_route(
        'coach', '/coach/', 'rollout', 'engines', Resumable=True, Sticky=True
    )
    new = {**old, 'Name': 'resort', 'PathPrefix': '/resort/'}
    await world.store.publish(lib.make_text(7, [old], [MODEL]))
    await world.start_daemons(3)
    holder = await world.find_holder(f'jobs/{MODEL}')
    other = next(d for d in world.daemons if d is not holder)
    await asyncio.sleep(3)

    def find_watch():
        """The connection on which the holder reads the manifest."""
        for connection in world.store.connections:
            if (
                connection.label == holder.name
                and 'Topic=keyed.op' in connection.current
            ):
                return connection
        return None

    if has_trouble:
        watch = await world.wait_for(find_watch, 'a read of the manifest')
        watch.silence()
        world.record.write(
            'trouble',
            f'one of the connections of {holder.name} to the store goes'
            ' silent, without a reset; new ones work',
        )
    await world.store.publish(lib.make_text(12, [old, new], [MODEL]))
    await asyncio.sleep(0.5)
    body = lib.make_job('b1', '/resort/', MODEL, 1, 1, GROUPS, SIZE)
    trainer = lib.Trainer(world, 'b1', '/resort/', body)
    until_s = world.record.now() + BUDGET_S
    if await trainer.submit(other) != 202:
        raise lib.CannotRunError('the step was not accepted')
    await trainer.read_until([other], until_s)
    ran = {item for _, _, item in world.runs}
    wrong = [i for i, r in trainer.results.items() if r['State'] == 'down']
    done = [
        i
        for i, r in trainer.results.items()
        if r['State'] == 'done' and r['Text'] == world.expected_text(i)
    ]
    world.record.write(
        'judge',
        f'{len(done)} of {len(trainer.items)} items done with their whole'
        f' text; {len(wrong)} listed as down; {len(ran)} ran at a replica;'
        ' no replica answered 422 or 500, the job was not ended, its route'
        ' is in the manifest',
    )
    if not has_trouble and len(done) < len(trainer.items):
        return True, 'items are missing without trouble'
    return bool(wrong), (
        f'{len(wrong)} items are listed as down; {len(ran)} ran at a replica'
    )


lib.run_case(case, pathlib.Path(__file__).with_name('record.txt'))
