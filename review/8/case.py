"""A replica hands out wrong bytes: a line of an answer's head is no field.

One of three replicas of a plain service spoils at most 3 of 100 of its answers,
for 6.5 seconds: one line of the head is overwritten by bytes that are no
header field, the one with the proof and the one with the coding of the body in
turn.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib-2'))
import harness  # noqa: E402

TROUBLE_S = 6.5
PLAY_S = 10.0


def play(deployment, trouble):
    deployment.start_store()
    deployment.start_replica('i-e0', harness.ENGINES, 'z-a', models=['daka51'])
    for number, zone in enumerate(('z-a', 'z-b', 'z-c')):
        deployment.start_replica(f'i-p{number}', harness.PLAIN, zone, slots=6,
                                 work_ms=10, spoil_how=['overwrite'])
    deployment.write_manifest(['daka51'])
    for number, zone in enumerate(('z-a', 'z-b', 'z-c')):
        deployment.start_daemon(f'front-{number}', zone)
    deployment.wait_ready()
    time.sleep(4.0)
    clients = [harness.SafeClient(deployment, seed, 0.1, 800, 800)
               for seed in range(12)]
    for client in clients:
        client.start()
    time.sleep(2.0)
    if trouble:
        deployment.control('i-p1', spoil_every=34)
        threading.Timer(TROUBLE_S, lambda: deployment.control(
            'i-p1', spoil_every=0)).start()
    time.sleep(PLAY_S)
    rows = [row for client in clients for row in client.rows]
    spoiled = deployment.control('i-p1')['spoiled']
    served = [row for row in rows if row['status'] == 200]
    unproved = [row for row in served if not row['stamp']]
    foreign = [row for row in served
               if row['body'] != f'answer to {row["id"]}']
    deployment.note(
        f'{len(rows)} safe requests, {spoiled} answers spoiled,'
        f' {len(served)} requests with a success, {len(unproved)} of them'
        f' without the proof of a replica, {len(foreign)} with another body')
    for row in unproved:
        deployment.note(f'a success without the proof: {row}')
    for row in foreign:
        deployment.note(f'a success with another body: {row}')
    return bool(unproved or foreign)


sys.exit(harness.run(FOLDER, play))
