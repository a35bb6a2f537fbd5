"""Client that balances calls over daemons as the platform does."""

from __future__ import annotations

import http.client
import json
import typing

import eventlet

from standins import common

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
# A daemon that refused a connection gets no calls for this time.
EXCLUDE_S = 1.0
RETRY_S = 0.1

ERRORS = (OSError, http.client.HTTPException)


class OpenedCall(typing.NamedTuple):
    """A call whose response headers have been received."""

    address: str
    connection: http.client.HTTPConnection
    response: http.client.HTTPResponse


class CallError(Exception):
    """A call got no response.

    Attributes:
        address: Daemon that was called.
        is_sent: Whether the connection was established, so that the request
            may have been sent.
    """

    def __init__(self, address: str, is_sent: bool, reason: str) -> None:
        super().__init__(f'{address}: {reason}')
        self.address = address
        self.is_sent = is_sent


class Balancer:
    """Round-robin over daemons that didn't refuse a connection recently."""

    def __init__(self, addresses: typing.Sequence[str]) -> None:
        self._addresses = list(addresses)
        self._last_index = 0
        self._excluded_until_s: dict[str, float] = {}

    @property
    def addresses(self) -> list[str]:
        """All daemons."""
        return list(self._addresses)

    def set_leaving(self, address: str) -> None:
        """Stops sending calls to a leaving daemon, as the platform does."""
        self._excluded_until_s[address] = float('inf')

    def next_address(self) -> str:
        """Address of the next daemon in round-robin order."""
        for _ in self._addresses:
            self._last_index = (self._last_index + 1) % len(self._addresses)
            address = self._addresses[self._last_index]
            if self._excluded_until_s.get(address, 0.0) <= common.now_s():
                return address
        return self._addresses[self._last_index]

    def open(
        self,
        method: str,
        path: str,
        value: typing.Any,
        read_timeout_s: float,
        headers: typing.Optional[dict[str, str]] = None,
    ) -> OpenedCall:
        """Calls the next daemon and returns after the response headers.

        Args:
            method: HTTP method.
            path: Path with the query.
            value: Body, sent as JSON.
            read_timeout_s: Longest wait for data from the daemon.
            headers: Further request headers.

        Raises:
            CallError: No connection or no response headers.
        """
        address = self.next_address()
        host, _, port = address.rpartition(':')
        connection = http.client.HTTPConnection(
            host, int(port), timeout=CONNECT_TIMEOUT_S
        )
        try:
            connection.connect()
        except OSError as error:
            self._excluded_until_s[address] = common.now_s() + EXCLUDE_S
            raise CallError(address, False, repr(error)) from error
        connection.sock.settimeout(read_timeout_s)
        try:
            connection.request(
                method,
                path,
                json.dumps(value).encode(),
                {'Content-Type': common.JSON_TYPE, **(headers or {})},
            )
            return OpenedCall(address, connection, connection.getresponse())
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

    def call_until_success(
        self, method: str, path: str, value: typing.Any, attempts: int
    ) -> bool:
        """Tries daemons in turn until one responds with a 2xx status."""
        for _ in range(attempts):
            if 200 <= self.call(method, path, value) < 300:
                return True
            eventlet.sleep(RETRY_S)
        return False
