"""Benchmark of the frames per second of one connection between two daemons.

``python -m bench.frames`` prints, for each message size, the cost of bursts of
notices, of single notices and of sequential calls. CPU is that of the sender.
"""

import eventlet

eventlet.monkey_patch()

import dataclasses  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from lentildeal._internal.network import peers  # noqa: E402
from lentildeal._internal.network import wire  # noqa: E402
from lentildeal._internal.settings import settings  # noqa: E402

SIZES_BYTES = (50, 500, 5000)
NOTICES = 20_000
# Below the limit of queued frames, so that no notice of a burst is dropped.
BURST_NOTICES = 1000
CALLS = 3000
# Notices that are each sent alone, as heartbeats are.
SINGLE_NOTICES = 1000
SINGLE_PAUSE_S = 0.001
TIMEOUT_S = 30.0


@wire.message('bench.data')
@dataclasses.dataclass(frozen=True)
class Data:
    """Message with a body of the given size."""

    body: bytes


@wire.message('bench.count')
@dataclasses.dataclass(frozen=True)
class Count:
    """Request for the number of received messages; also its response."""

    count: int = 0


def make_network(instance: str, port: int) -> peers.PeerNetwork:
    """Makes a peer network that listens on a port."""
    endpoint = settings.Endpoint('http://127.0.0.1:1')
    own = settings.Settings(
        instance=instance,
        failure_domain='a',
        http_address='127.0.0.1:1',
        peer_address=f'127.0.0.1:{port}',
        platform=settings.Platform(endpoint, endpoint, endpoint),
    )
    return peers.PeerNetwork(own, 1)


def run_receiver(port: int) -> None:
    """Counts received messages until the parent ends this process."""
    network = make_network('receiver', port)
    counts = [0]

    def add(*_) -> None:
        counts[0] += 1

    network.handle(Data, add)
    network.handle(Count, lambda *_: Count(counts[0]))
    network.start()
    print('ready', flush=True)
    eventlet.sleep(600)


def wait_for(network: peers.PeerNetwork, count: int) -> None:
    """Waits until the receiver has counted that many messages."""
    while network.call('receiver', Count(), TIMEOUT_S).count < count:
        eventlet.sleep(0.001)


def measure(
    network: peers.PeerNetwork, size_bytes: int, sent_count: int
) -> int:
    """Measures one message size.

    Args:
        network: Network of the sender.
        size_bytes: Size of the body.
        sent_count: Number of messages sent before.

    Returns:
        Number of messages sent so far.
    """
    message = Data(b'x' * size_bytes)
    started_s, cpu_s = time.monotonic(), time.process_time()
    for _ in range(NOTICES // BURST_NOTICES):
        for _ in range(BURST_NOTICES):
            network.notify('receiver', message)
        sent_count += BURST_NOTICES
        wait_for(network, sent_count)
    notice_s = time.monotonic() - started_s
    notice_cpu_s = time.process_time() - cpu_s
    cpu_s = time.process_time()
    for _ in range(SINGLE_NOTICES):
        network.notify('receiver', message)
        eventlet.sleep(SINGLE_PAUSE_S)
    single_cpu_s = time.process_time() - cpu_s
    started_s = time.monotonic()
    for _ in range(CALLS):
        network.call('receiver', Count(), TIMEOUT_S)
    call_s = time.monotonic() - started_s
    print(
        f'{size_bytes} bytes: {NOTICES / notice_s:.0f} notices/s in bursts,'
        f' {notice_cpu_s / NOTICES * 1e6:.1f} us of CPU each;'
        f' {single_cpu_s / SINGLE_NOTICES * 1e6:.1f} us each alone with the'
        ' pause;'
        f' {CALLS / call_s:.0f} calls/s one after the other',
        flush=True,
    )
    return sent_count + SINGLE_NOTICES


def main() -> None:
    """Starts the receiver and measures all sizes."""
    if len(sys.argv) > 1:
        run_receiver(int(sys.argv[1]))
        return
    probe = eventlet.listen(('127.0.0.1', 0))
    port = probe.getsockname()[1]
    probe.close()
    command = [sys.executable, '-W', 'ignore', '-m', 'bench.frames', str(port)]
    receiver = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        receiver.stdout.readline()
        network = make_network('sender', 0)
        network.set_address('receiver', f'127.0.0.1:{port}')
        sent_count = 0
        for size_bytes in SIZES_BYTES:
            sent_count = measure(network, size_bytes, sent_count)
    finally:
        receiver.kill()
        receiver.wait()


if __name__ == '__main__':
    main()
