"""Trainers and callers that keep sending requests during all faults."""

from __future__ import annotations

import http.client
import random
import threading

from soak import checker as checker_module
from tests.lib import platform_world

HOST = platform_world.HOST
RETRY_DELAY_S = 0.2
ITEMS_PER_JOB = 8


class Clients:
    """Threads that submit jobs, read results and call random daemons."""

    def __init__(self, soak, seed: int, trainers: int) -> None:
        self._soak = soak
        self._seed = seed
        self.checker = checker_module.ResponseChecker()
        self.is_ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._run_trainer, args=(number,))
            for number in range(trainers)
        ]
        self._threads.append(threading.Thread(target=self._run_caller))

    def start(self) -> None:
        """Starts all clients."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Waits until each client has finished its current job or call."""
        self.is_ending.set()
        for thread in self._threads:
            thread.join()

    def _run_trainer(self, number: int) -> None:
        rng = random.Random(f'{self._seed}/{number}')
        step = 0
        while not self.is_ending.is_set():
            job_id = f's{self._seed}t{number}k{step}'
            items = [f'{job_id}i{index}' for index in range(ITEMS_PER_JOB)]
            make = rng.choice(
                (platform_world.make_job, platform_world.make_scored_job)
            )
            job = make(items)
            is_scored = make is platform_world.make_scored_job
            self.checker.add_job(job_id, items, is_scored)
            if self._submit(rng, job_id, job):
                self._read(rng, job_id)
            step += 1

    def _submit(self, rng: random.Random, job_id: str, job: dict) -> bool:
        """Submits until the job is accepted or the clients are ending."""
        while True:
            status = self._send(
                rng,
                'POST',
                f'/rollouts/{job_id}',
                job,
                Lentildeal_Request_Id=job_id,
            )[0]
            self.checker.add_submission(job_id, status)
            if status == 202:
                return True
            if self.is_ending.is_set():
                return False
            self.is_ending.wait(RETRY_DELAY_S)

    def _read(self, rng: random.Random, job_id: str) -> None:
        """Reads until the job is complete; some reads go back at random."""
        after = 0
        while not self._soak.has_timed_out:
            if rng.random() < 0.2:
                after = rng.randint(0, after)
            status, page = self._send(
                rng,
                'GET',
                f'/lots/{job_id}?After={after}',
                Lentildeal_Wait_Ms='500',
            )
            self.checker.add_read(job_id, status)
            if status != 200:
                self._soak.pause(RETRY_DELAY_S)
                continue
            self.checker.add_page(job_id, after, page)
            after = page['NextToken']
            if after == page['Total']:
                return

    def _run_caller(self) -> None:
        rng = random.Random(f'{self._seed}/calls')
        number = 0
        while not self.is_ending.is_set():
            call_id = f's{self._seed}c{number}'
            self.checker.calls[call_id] = None
            status, body = self._send(
                rng,
                'POST',
                '/once/1',
                None,
                Lentildeal_Request_Id=call_id,
                Lentildeal_Deadline_Ms='1500',
            )
            self.checker.calls[call_id] = status
            if status == 200 and body != b'plain ':
                self.checker.violations.append(f'call {call_id}: {body!r}')
            number += 1
            self.is_ending.wait(RETRY_DELAY_S / 2)

    def _send(self, rng, method, path, value=None, **headers) -> tuple:
        """Calls a random daemon; returns status 0 without a response."""
        daemon = rng.choice(self._soak.daemons)
        try:
            return daemon.call(method, path, value, Host=HOST, **headers)
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None
