"""A replica in trouble sends bytes without end in place of an item's events.

One of two engines spoils at most 3 of 100 of its answers, for six seconds:
its stream has blank lines without end, and no event.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
import harness  # noqa: E402

MODELS = ['daka51', 'rada74', 'ravo48']
TIMEOUT_MS = 500
# Clients wait longer than the route's timeout.
WAIT_MS = 2000
TROUBLE_S = 6.0
PLAY_S = 40.0


def play(deployment, trouble):
    deployment.start_store()
    for name, zone in (('i-e0', 'z-a'), ('i-e1', 'z-b')):
        deployment.start_replica(name, harness.ENGINES, zone, models=MODELS)
    for name, zone in (('i-p0', 'z-a'), ('i-p1', 'z-b')):
        deployment.start_replica(name, harness.PLAIN, zone, slots=6)
    deployment.write_manifest(MODELS, safe={'TimeoutMs': TIMEOUT_MS})
    for number, zone in enumerate(('z-a', 'z-b', 'z-c')):
        deployment.start_daemon(f'front-{number}', zone)
    deployment.wait_ready()
    time.sleep(4.0)
    clients = [harness.SafeClient(deployment, seed, 0.3, TIMEOUT_MS, WAIT_MS)
               for seed in range(24)]
    for client in clients:
        client.start()
    time.sleep(2.0)
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
            jobs.append((trainer, *trainer.submit(18, 4, tries=3)))
        time.sleep(max(0.0, begun + 4.0 * (round_number + 1)
                       - time.monotonic()))
    cpu = {d: d.cpu_s() for d in deployment.daemons}
    listed = 0
    for trainer, job_id, status, items in jobs:
        until = max(begun + 16.0, time.monotonic() + 1.0)
        results = trainer.read_until(job_id, len(items), until)
        listed += len(results)
        deployment.note(f'job {job_id}: {len(results)} of {len(items)} read')
    time.sleep(max(0.0, begun + PLAY_S - time.monotonic()))
    hung = []
    for daemon in deployment.daemons:
        is_ready = daemon.is_ready(timeout_s=2.0)
        used = daemon.cpu_s() - cpu[daemon]
        deployment.note(
            f'{daemon.name}: ready {is_ready}, {used:.1f} s of processor time'
            f' since the jobs')
        if not is_ready:
            hung.append(daemon.name)
    rows = [row for client in clients for row in client.rows]
    late = [row for row in rows if row['ms'] > TIMEOUT_MS]
    never = [row for row in late if row['ms'] > TIMEOUT_MS + 500]
    deployment.note(
        f'{len(rows)} safe requests, {len(late)} lasted longer than'
        f' TimeoutMs, {len(never)} of them had no final answer 0.5 s after'
        f' it; without an answer to a status check at the end: {hung};'
        f' {listed} results of {sum(len(j[3]) for j in jobs)} items')
    return len(never) >= 8 and len(never) > len(late) / 2


sys.exit(harness.run(FOLDER, play))
