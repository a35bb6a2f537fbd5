"""Small fakes at the interfaces of the plug-ins ``config`` and others."""

import json
import types

import eventlet

from lentildeal._internal.adapters import base
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_server
from lentildeal._internal.settings import settings as settings_module


class FakePeers:
    """Connects kernels of one process by plain calls."""

    def __init__(self, instance, network):
        self.instance = instance
        self.handlers = {}
        self.disconnect_handlers = []
        self.is_silent = False
        self._network = network
        network[instance] = self

    def handle(self, cls, function):
        self.handlers[cls] = function

    def on_disconnect(self, function):
        self.disconnect_handlers.append(function)

    def is_connected(self, instance):
        return instance in self._network

    def call(self, instance, message, timeout_s):
        peer = self._network[instance]
        peer.wait_while_silent()
        return peer.handlers[type(message)](self.instance, message)

    def notify(self, instance, message):
        peer = self._network[instance]
        if not peer.is_silent:
            peer.handlers[type(message)](self.instance, message)

    def wait_while_silent(self):
        while self.is_silent:
            eventlet.sleep(0.01)


class FakeConfig:
    """A text that never changes."""

    def __init__(self, text):
        self.text = text
        self.functions = []

    def on_change(self, function):
        self.functions.append(function)


class FakeMembership:
    """Owners set by the test."""

    def __init__(self, instance, owners):
        self._instance = instance
        self.owners = owners
        self.functions = []

    def on_change(self, function):
        self.functions.append(function)

    def members(self):
        return []

    def owner_of(self, domain, address):
        return self.owners.get(address)

    def is_owner(self, domain, address):
        return self.owners.get(address) == self._instance


class FakeKernel:
    """Holds plug-ins and starts nothing by itself."""

    def __init__(self, instance, network, **plugins):
        self.settings = make_settings(instance)
        self.incarnation = ids.Incarnation(hash(instance) & 0xFFFF | 1)
        self.peers = FakePeers(instance, network)
        self.router = http_server.Router()
        self.plugins = plugins

    def plugin(self, name):
        return self.plugins[name]

    def spawn(self, name, function, *arguments):
        eventlet.spawn_n(function, *arguments)


class FakeLog(base.LogService):
    """Streams in memory with outages, lost answers and retention."""

    def __init__(self):
        self.records = []
        self.oldest = 0
        self.is_down = False
        self.lost_answers = 0

    def append(self, stream, body):
        eventlet.sleep(0)
        if self.is_down:
            raise exceptions.LogUnavailableError('down')
        self.records.append(json.loads(json.dumps(body)))
        offset = len(self.records) - 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise exceptions.LogAnswerLostError('lost')
        return offset

    def read(self, stream, start, wait_s=0.0):
        eventlet.sleep(0.001)
        if self.is_down:
            raise exceptions.LogUnavailableError('down')
        start = max(start, self.oldest)
        records = tuple(
            base.LogRecord(offset, self.records[offset])
            for offset in range(start, len(self.records))
        )
        return base.LogPage(records, self.oldest, len(self.records))


def make_settings(instance):
    """Settings of an instance in domain "a"."""
    endpoint = settings_module.Endpoint('http://127.0.0.1:1')
    platform = types.SimpleNamespace(
        log=endpoint, instances=endpoint, weights=endpoint
    )
    return settings_module.Settings(
        instance, 'a', '127.0.0.1:0', '127.0.0.1:0', platform
    )
