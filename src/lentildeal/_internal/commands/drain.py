"""Command ``drain``."""

from __future__ import annotations

import dataclasses
import typing

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import status_codes


@dataclasses.dataclass(kw_only=True)
class Drain(base.Command):
    """Starts a planned stop: the daemon finishes its work, then exits."""

    instance: typing.Annotated[
        str,
        cappa.Arg(help='Name of the instance, or its HTTP address "ip:port".'),
    ]

    def run(self) -> status_codes.Status:
        """See the base class."""
        address = self._find_address()
        command = dataclasses.replace(self, server=address)
        response = command.connect().post('/v1/drain', {})
        if self.is_json:
            base.print_json({'instance': self.instance, 'address': address})
        else:
            print(f'{self.instance} at {response.address} is draining')
        return status_codes.Status.OK

    def _find_address(self) -> str:
        if ':' in self.instance:
            return self.instance
        response = self.connect().get('/v1/config/members').value
        members = {m['instance']: m for m in response['members']}
        if self.instance not in members:
            raise base.UsageError(
                f'there is no instance "{self.instance}"',
                remedy=f'use one of {", ".join(sorted(members)) or "none"}',
            )
        return members[self.instance]['http_address']
