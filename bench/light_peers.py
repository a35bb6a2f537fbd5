"""Many peers in one process, for measuring what they cost one daemon.

Each is a peer network with its own listener; those that send have one
sender of heartbeats to the measured daemon. Usage:
``python -m bench.light_peers SPEC`` with a JSON file as in `bench.capacity`.
"""

import eventlet

eventlet.monkey_patch()

import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

from lentildeal._internal.membership import heartbeats  # noqa: E402
from lentildeal._internal.models import members  # noqa: E402
from lentildeal._internal.network import peers  # noqa: E402
from lentildeal._internal.settings import settings  # noqa: E402

INCARNATION = 2**62
INTERVAL_S = 0.5
# Spread of the senders' phases: peers of one daemon beat independently.
SPREAD_S = INTERVAL_S


def start_peer(spec: dict, peer: dict, delay_s: float) -> None:
    """Starts one peer."""
    endpoint = settings.Endpoint('http://127.0.0.1:1')
    own = settings.Settings(
        instance=peer['instance'],
        failure_domain=peer['failure_domain'],
        http_address='127.0.0.1:1',
        peer_address=peer['peer_address'],
        platform=settings.Platform(endpoint, endpoint, endpoint),
    )
    network = peers.PeerNetwork(own, INCARNATION)
    for kind in (heartbeats.Beat, heartbeats.Update, heartbeats.Resend):
        network.handle(kind, lambda *_: None)
    network.start()
    if not peer['sends']:
        return
    network.set_address(spec['measured'], spec['measured_address'])
    content = heartbeats.Content(1, make_rows(spec, peer), {})
    sender = heartbeats.Sender(
        network,
        spec['measured'],
        INCARNATION,
        INTERVAL_S,
        delay_s,
        lambda: content,
        lambda _: None,
    )
    network.handle(heartbeats.Resend, lambda *_: reset(sender))
    eventlet.spawn_after(delay_s, sender.start)


def reset(sender: heartbeats.Sender) -> None:
    """Sends everything again, as a daemon does when it is asked to."""
    sender.session.reset()
    sender.send_now()


def make_rows(spec: dict, peer: dict) -> dict:
    """Roster of the peer's domain."""
    return {
        other['instance']: heartbeats.pack_member(
            members.Member(
                other['instance'],
                INCARNATION,
                other['failure_domain'],
                '127.0.0.1:1',
                other['peer_address'],
            )
        )
        for other in spec['peers']
        if other['failure_domain'] == peer['failure_domain']
    }


def main() -> None:
    """Starts the peers of this process and keeps them."""
    spec = json.loads(pathlib.Path(sys.argv[1]).read_text())
    part, parts = int(sys.argv[2]), int(sys.argv[3])
    mine = spec['peers'][part::parts]
    for number, peer in enumerate(mine):
        start_peer(spec, peer, SPREAD_S * number / len(mine))
    eventlet.sleep(spec['seconds'])


if __name__ == '__main__':
    main()
