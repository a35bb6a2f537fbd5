"""A replica breaks off or spoils some of its answers.

One of two engines breaks off or spoils at most 3 of 100 of its answers, for
6.5 seconds, in turn: the connection is closed after the first event, within
the line that holds the size of the next chunk, or the line with the data of
the second event is overwritten. The engines write sizes with eight digits.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
import harness  # noqa: E402

MODELS = ['daka51', 'rada74', 'ravo48']
EVENTS = 6
TROUBLE_S = 6.5


def play(deployment, trouble):
    deployment.start_store()
    for name, zone in (('i-e0', 'z-a'), ('i-e1', 'z-b')):
        deployment.start_replica(name, harness.ENGINES, zone, models=MODELS,
                                 events=EVENTS, padded=True, spoil_how=['overwrite', 'tear'])
    deployment.start_replica('i-p0', harness.PLAIN, 'z-a', slots=6)
    deployment.write_manifest(MODELS)
    for number, zone in enumerate(('z-a', 'z-b', 'z-c')):
        deployment.start_daemon(f'front-{number}', zone)
    deployment.wait_ready()
    time.sleep(4.0)
    if trouble:
        deployment.control('i-e1', spoil_every=34)
        threading.Timer(TROUBLE_S, lambda: deployment.control(
            'i-e1', spoil_every=0)).start()
    begun = time.monotonic()
    trainers = [harness.Trainer(deployment, model, seed)
                for seed, model in enumerate(MODELS)]
    jobs = []
    for round_number in range(2):
        for trainer in trainers:
            jobs.append((trainer, *trainer.submit(18, 4)))
        time.sleep(max(0.0, begun + 4.0 * (round_number + 1)
                       - time.monotonic()))
    wrong, done = [], 0
    for trainer, job_id, status, items in jobs:
        results = trainer.read_until(job_id, len(items), begun + 20.0)
        for result in results:
            whole = '\n'.join(f'{result["Id"]}/{n}' for n in range(EVENTS))
            done += result['State'] == 'done'
            if result['State'] == 'done' and result['Text'] != whole:
                wrong.append(result)
    spoiled = deployment.control('i-e1')['spoiled']
    deployment.note(
        f'{sum(len(j[3]) for j in jobs)} items, {spoiled} answers spoiled,'
        f' {done} results done, {len(wrong)} of them without the item\'s whole'
        f' output')
    for result in wrong:
        deployment.note(f'wrong text: {result}')
    return bool(wrong)


sys.exit(harness.run(FOLDER, play))
