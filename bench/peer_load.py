"""Many peers in one process, which load one daemon for `bench.capacity`.

Each is a peer network with its own listener; those that send have one
heartbeat sender to the measured daemon. Usage:
``python -m bench.peer_load SPEC PART PARTS``, where SPEC is a JSON file that
`bench.capacity` writes and PART the number of this process of PARTS.
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
# The senders start spread over this time, since peers send heartbeats
# independently.
START_SPREAD_S = INTERVAL_S


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
    network.handle(heartbeats.Resend, lambda *_: resend_all(sender))
    eventlet.spawn_after(delay_s, sender.start)


def resend_all(sender: heartbeats.Sender) -> None:
    """Sends the full state again, as a daemon does on a resend request."""
    sender.session.reset()
    sender.send_now()


def make_rows(spec: dict, peer: dict) -> dict:
    """Member rows of the peer's failure domain."""
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
    """Starts the peers of this process and keeps them running."""
    spec = json.loads(pathlib.Path(sys.argv[1]).read_text())
    part, parts = int(sys.argv[2]), int(sys.argv[3])
    own_peers = spec['peers'][part::parts]
    for number, peer in enumerate(own_peers):
        start_peer(spec, peer, START_SPREAD_S * number / len(own_peers))
    eventlet.sleep(spec['seconds'])


if __name__ == '__main__':
    main()
