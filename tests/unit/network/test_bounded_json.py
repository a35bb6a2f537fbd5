"""Estimates of the memory that decoding JSON takes."""

import json
import tracemalloc

import pytest

from lentildeal._internal.network import bounded_json

SIZE_BYTES = 400_000
ITEMS = {
    'lists': '[],',
    'filled lists': '[1000],',
    'objects': '{},',
    'filled objects': '{"a":{}},',
    'objects with six members': '{"a":[],"b":[],"c":[],"d":[],"e":[],"f":[]},',
    'numbers': '1.5,',
    'strings': '"ab",',
    'long strings': f'"{"x" * 10_000}",',
    'wide strings': f'"{"x" * 10_000}\U0001f600",',
    'escaped wide strings': f'"{"x" * 10_000}\\ud83d\\ude00",',
}


@pytest.mark.parametrize('item', ITEMS.values(), ids=ITEMS)
def test_estimate_is_not_exceeded(item):
    """Guards against a document that takes more than the budget counts."""
    count = SIZE_BYTES // len(item)
    body = f'[{item * count}{item[:-1]}]'.encode()
    tracemalloc.start()
    try:
        document = json.loads(body)
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(document) == count + 1
    assert peak_bytes <= bounded_json.estimate_bytes(body)
