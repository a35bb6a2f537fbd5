"""Fake of the trainers' interface, for tests of the stand-in trainer."""

from __future__ import annotations

import json
import typing

from standins import common
from standins import generation


class FakeCoordinator(common.StandIn):
    """Responds to attach requests at once with generated samples."""

    # break_streams: streams end within their third line; forget: received
    # samples are sent again.
    fault_defaults = {'break_streams': 0, 'forget': 0}

    def __init__(self, arguments: typing.Any) -> None:
        super().__init__(arguments)
        self._calls: list[dict] = []

    def handle(self, request: common.Request) -> common.Response:
        """See the base class."""
        body = request.read_json()
        self._calls.append({'path': request.path, 'body': body})
        if not request.path.rpartition('/')[2].isdigit():
            return common.json_response({})
        lines = [json.dumps(event) for event in self._make_events(request)]
        if self.faults.should_inject('break_streams'):
            lines = [*lines[:2], lines[2][:10]]
            return common.Response(200, {}, '\n'.join(lines).encode())
        return common.Response(200, {}, ('\n'.join(lines) + '\n').encode())

    def journal(self) -> dict:
        """Calls in the order of their arrival."""
        return {'calls': self._calls}

    def _make_events(self, request: common.Request) -> typing.Iterator[dict]:
        body = request.read_json()
        parts = request.path.split('/')
        held = [] if self.faults.should_inject('forget') else body['received']
        cursor = 0
        for prompt in body['prompts']:
            for index in range(body['group_size']):
                sample_id = f'{parts[3]}/{parts[5]}/{prompt["group"]}/{index}'
                if sample_id in held:
                    continue
                cursor += 1
                sample = make_sample(sample_id, [body['version']])
                yield {'event': 'sample', 'cursor': cursor, 'sample': sample}
        yield {'event': 'end', 'delivered': cursor}


def make_sample(
    sample_id: str,
    versions: list[int],
    labels: typing.Optional[list[int]] = None,
) -> dict:
    """Makes a sample with a token for each version; labels may differ."""
    text = ''.join(
        generation.make_token('prompt', sample_id, number, version)
        for number, version in enumerate(versions)
    )
    segments = [
        {'version': version, 'start': number, 'end': number + 1}
        for number, version in enumerate(labels or versions)
    ]
    return {
        'id': sample_id,
        'text': text,
        'token_count': len(versions),
        'segments': segments,
    }


if __name__ == '__main__':
    common.run(FakeCoordinator)
