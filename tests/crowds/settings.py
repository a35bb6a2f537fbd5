"""Settings and bounds of the crowds; small, so that small crowds suffice."""

from tests.lib import platform_world

MEMORY_MB = 80
DESCRIPTORS = 256
BODY_BYTES = 8 * 1024 * 1024
SECTIONS = {
    'resources': {'memory_mb': MEMORY_MB, 'descriptors': DESCRIPTORS},
    'limits': {'request_bytes': BODY_BYTES},
}
# Bounds that are checked. The daemon needs 47 MB when it is idle.
PEAK_KB = MEMORY_MB * 1024
OPEN_DESCRIPTORS = DESCRIPTORS
ITEM_ID = 'item'
ITEM_BYTES = 150_000
JOB_ID = 'job'

# Kinds of paths: address, method and target.
FRONT = 'front'
READY = 'ready'
METRICS = 'metrics'
PATHS = {
    'route': (FRONT, 'POST', '/desk/x'),
    'none': (FRONT, 'POST', '/nowhere'),
    'job': (FRONT, 'POST', '/rollouts/other'),
    'item': (FRONT, 'GET', f'/items/{JOB_ID}?Id={ITEM_ID}'),
    'front ready': (FRONT, 'GET', '/ready'),
    'ready': (READY, 'GET', '/ready'),
    'metrics': (METRICS, 'GET', '/metrics'),
}


def make_head(method: str, target: str, *fields: str) -> bytes:
    """Makes the head of a request, without its last line."""
    lines = (
        f'{method} {target} HTTP/1.1',
        f'Host: {platform_world.HOST}',
        'Lentildeal-Request-Id: crowd',
        *fields,
    )
    return ''.join(f'{line}\r\n' for line in lines).encode()
