"""Kernel without sockets, for tests of plug-ins in one process."""

from __future__ import annotations

import json

import eventlet

from lentildeal._internal.network import http_server


class FakePeers:
    """Peer network that calls the handlers of other fake kernels."""

    def __init__(self):
        self.handlers = {}
        self.others = {}

    def handle(self, cls, function):
        """Registers a handler."""
        self.handlers[cls] = function

    def call(self, instance, message, timeout_s):
        """Calls a handler of another kernel; the time limit is ignored."""
        peers = self.others[instance].peers
        return peers.handlers[type(message)](instance, message)


class FakeMembership:
    """Membership with the members that the test sets."""

    def __init__(self):
        self.known = []

    def live(self):
        """Returns the members."""
        return self.known

    def members(self):
        """Returns the members."""
        return self.known

    def cut_off_domains(self):
        """Returns no domains."""
        return ()


class FakeKernel:
    """Settings, routes, peers and plug-ins of one instance."""

    def __init__(self, settings):
        self.settings = settings
        self.router = http_server.Router()
        self.peers = FakePeers()
        self.plugins = {'membership': FakeMembership()}
        self._threads = []

    def plugin(self, name):
        """Returns a plug-in by name."""
        return self.plugins[name]

    def find_plugin(self, name):
        """Returns a plug-in by name, or None."""
        return self.plugins.get(name)

    def check_time_left(self, limit_s):
        """Refuses nothing: this kernel is never stopped."""

    def spawn(self, name, function, *arguments):
        """Runs a function in a green thread."""
        self._threads.append(eventlet.spawn(function, *arguments))

    def stop(self):
        """Ends the green threads."""
        for thread in self._threads:
            thread.kill()

    def request(self, method, path, value=None, query=None):
        """Calls a route and returns the status and decoded body."""
        handler, parameters = self.router.find(method, path)
        body = b'' if value is None else json.dumps(value).encode()
        request = http_server.Request(
            method, path, query or {}, parameters, {}, body
        )
        response = handler(request)
        return response.status, json.loads(response.body)
