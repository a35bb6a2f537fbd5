"""Calls to daemons the way the platform's load balancer spreads them."""

from __future__ import annotations

import http.client
import json
import typing

import eventlet

from standins import common

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
# A daemon that refused a connection is left out for this time.
AVOID_S = 1.0
RETRY_S = 0.1

ERRORS = (OSError, http.client.HTTPException)


class Balancer:
    """Daemons in turn, without those that lately refused connections."""

    def __init__(self, addresses: typing.Sequence[str]) -> None:
        self._addresses = list(addresses)
        self._turn = 0
        self._avoid_until_s: dict[str, float] = {}

    def next_address(self) -> str:
        """Address of the daemon whose turn it is."""
        for _ in self._addresses:
            self._turn = (self._turn + 1) % len(self._addresses)
            address = self._addresses[self._turn]
            if self._avoid_until_s.get(address, 0.0) <= common.now_s():
                return address
        return self._addresses[self._turn]

    def open(
        self, method: str, path: str, value: typing.Any, silence_s: float
    ) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
        """Calls the next daemon and returns after the response's head.

        Raises:
            OSError: No connection or no head.
            http.client.HTTPException: The head is not valid.
        """
        address = self.next_address()
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError:
            self._avoid_until_s[address] = common.now_s() + AVOID_S
            raise
        connection.sock.settimeout(silence_s)
        connection.request(
            method,
            path,
            json.dumps(value).encode(),
            {'Content-Type': common.JSON_TYPE},
        )
        return connection, connection.getresponse()

    def call(self, method: str, path: str, value: typing.Any) -> int:
        """Calls the next daemon; returns the status, or 0 without one."""
        try:
            connection, response = self.open(
                method, path, value, CALL_TIMEOUT_S
            )
            response.read()
            connection.close()
            return response.status
        except ERRORS:
            return 0

    def call_until_taken(
        self, method: str, path: str, value: typing.Any, attempts: int
    ) -> bool:
        """Calls daemon after daemon until one answers with success."""
        for _ in range(attempts):
            if 200 <= self.call(method, path, value) < 300:
                return True
            eventlet.sleep(RETRY_S)
        return False
