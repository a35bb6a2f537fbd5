"""Stand-in of a scoring service."""

from __future__ import annotations

import hashlib

from standins import common
from standins import service


class Scoring(service.Service):
    """Scoring service with the single path ``/score``."""

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        if request.path != '/score' or request.method != 'POST':
            raise common.HttpError(404, 'only POST /score')
        return super().handle(request)

    def make_response(self, request: common.Request, entry: dict) -> dict:
        """See the base class."""
        value = request.read_json()
        return {'score': compute_score(value['prompt'], value['text'])}


def compute_score(prompt: str, text: str) -> float:
    """Deterministic score in [0, 1) from prompt and text."""
    digest = hashlib.sha256(f'{prompt}\0{text}'.encode()).digest()
    return int.from_bytes(digest[:4]) / 2**32


if __name__ == '__main__':
    common.run(Scoring)
