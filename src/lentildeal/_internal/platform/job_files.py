"""Reads the submission of a job from a file; needs no daemon."""

from __future__ import annotations

import json


def read_placement(text: str) -> dict[str, str]:
    """Returns what the placement of a job's items depends on, as a query.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has a wrong type.
        ValueError: The text is not JSON, or a number is invalid.
    """
    document = json.loads(text)
    return {
        'model': str(document['Model']),
        'min_version': str(int(document['MinVersion'])),
        'items': str(len(document['Entries'])),
    }
