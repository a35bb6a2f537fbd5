"""Hypothesis strategies for bytes and values that arrive from outside."""

from __future__ import annotations

import copy
import typing

from hypothesis import strategies as st

# Also what JSON decoders accept beyond ordinary values: infinite and huge
# numbers, lone surrogates, digits that are not ASCII.
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -1, 2**64, '\ud800', '\u00b2', '9' * 5000])
    | st.floats(allow_nan=True, allow_infinity=True)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=4,
)


@st.composite
def splits(draw: typing.Any, data: bytes) -> list[bytes]:
    """Draws parts of some bytes, as they may arrive one after another."""
    cuts = draw(st.lists(st.integers(0, len(data)), max_size=6))
    ends = [*sorted(cuts), len(data)]
    return [data[a:b] for a, b in zip([0, *ends[:-1]], ends, strict=True)]


@st.composite
def mutated_bytes(draw: typing.Any, data: bytes) -> bytes:
    """Draws bytes in which a range was replaced."""
    start = draw(st.integers(0, len(data)))
    end = draw(st.integers(start, min(len(data), start + 8)))
    return data[:start] + draw(st.binary(max_size=8)) + data[end:]


@st.composite
def mutated_documents(draw: typing.Any, document: typing.Any) -> typing.Any:
    """Draws a copy of a JSON document in which one value was replaced."""
    changed = copy.deepcopy(document)
    parent, key, value = None, None, changed
    while isinstance(value, (dict, list)) and value:
        if parent is not None and draw(st.booleans()):
            break
        keys = list(value) if isinstance(value, dict) else range(len(value))
        parent, key = value, draw(st.sampled_from(list(keys)))
        value = parent[key]
    if draw(st.booleans()) and isinstance(parent, dict):
        del parent[key]
    else:
        parent[key] = draw(json_values)
    return changed
