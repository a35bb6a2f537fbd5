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


class Opened(typing.NamedTuple):
    """A call whose answer has begun."""

    address: str
    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse


class CallError(Exception):
    """A call got no answer.

    Attributes:
        address: Daemon that was called.
        is_sent: Whether a connection had been made.
    """

    def __init__(self, address: str, is_sent: bool, reason: str) -> None:
        super().__init__(f'{address}: {reason}')
        self.address = address
        self.is_sent = is_sent


class Balancer:
    """Daemons in turn, without those that lately refused connections."""

    def __init__(self, addresses: typing.Sequence[str]) -> None:
        self._addresses = list(addresses)
        self._turn = 0
        self._avoid_until_s: dict[str, float] = {}

    @property
    def addresses(self) -> list[str]:
        """All daemons."""
        return list(self._addresses)

    def set_leaving(self, address: str) -> None:
        """Sends no more calls to a daemon, as the platform does."""
        self._avoid_until_s[address] = float('inf')

    def next_address(self) -> str:
        """Address of the daemon whose turn it is."""
        for _ in self._addresses:
            self._turn = (self._turn + 1) % len(self._addresses)
            address = self._addresses[self._turn]
            if self._avoid_until_s.get(address, 0.0) <= common.now_s():
                return address
        return self._addresses[self._turn]

    def open(
        self,
        method: str,
        path: str,
        value: typing.Any,
        silence_s: float,
        headers: typing.Optional[dict[str, str]] = None,
    ) -> Opened:
        """Calls the next daemon and returns after the response's head.

        Raises:
            CallError: No connection or no head.
        """
        address = self.next_address()
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError as error:
            self._avoid_until_s[address] = common.now_s() + AVOID_S
            raise CallError(address, False, repr(error)) from error
        connection.sock.settimeout(silence_s)
        try:
            connection.request(
                method,
                path,
                json.dumps(value).encode(),
                {'Content-Type': common.JSON_TYPE, **(headers or {})},
            )
            return Opened(address, connection, connection.getresponse())
        except ERRORS as error:
            connection.close()
            raise CallError(address, True, repr(error)) from error

    def call(self, method: str, path: str, value: typing.Any) -> int:
        """Calls the next daemon; returns the status, or 0 without one."""
        try:
            opened = self.open(method, path, value, CALL_TIMEOUT_S)
            opened.response.read()
        except (CallError, *ERRORS):
            return 0
        opened.connection.close()
        return opened.response.status

    def call_until_taken(
        self, method: str, path: str, value: typing.Any, attempts: int
    ) -> bool:
        """Calls daemon after daemon until one answers with success."""
        for _ in range(attempts):
            if 200 <= self.call(method, path, value) < 300:
                return True
            eventlet.sleep(RETRY_S)
        return False
