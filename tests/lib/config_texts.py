"""Settings and federation texts for tests of the configuration."""

from __future__ import annotations

import json

from lentildeal._internal.settings import settings


def make_settings(instance='a1', domain='a', **more):
    """Makes the settings of one instance, with placeholder addresses."""
    endpoint = {'url': 'http://127.0.0.1:1'}
    value = {
        'instance': instance,
        'failure_domain': domain,
        'http_address': '127.0.0.1:0',
        'peer_address': '127.0.0.1:0',
        'platform': {
            'log': endpoint,
            'instances': endpoint,
            'weights': endpoint,
        },
        **more,
    }
    return settings.parse(json.dumps(value))


def make_text(**changes):
    """Makes a small valid text as a dict; ``changes`` replace sections."""
    value = {
        'format': 1,
        'federation': 'test',
        'clubs': {'north': {'weight': 2}, 'south': {}},
        'targets': {
            'engines': {
                'kind': 'engine',
                'model': 'seat',
                'replicas': {'a': ['127.0.0.1:7001'], 'b': ['127.0.0.1:7002']},
            },
            'counters': {
                'kind': 'service',
                'replicas': {'a': ['127.0.0.1:7003']},
            },
        },
        'services': {
            'seat-live': {'club': 'north', 'target': 'engines'},
            'scoring': {'club': 'north', 'target': 'counters'},
        },
        'trainers': {
            'seat-trainer': {
                'club': 'north',
                'model': 'seat',
                'scoring': 'scoring',
            },
        },
    }
    value.update(changes)
    return value


def dump_text(**changes):
    """Makes a small valid text as JSON; ``changes`` replace sections."""
    return json.dumps(make_text(**changes), indent=2)
