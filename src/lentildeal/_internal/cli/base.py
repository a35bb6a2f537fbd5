"""Base class and helpers of all client commands."""

from __future__ import annotations

import abc
import dataclasses
import enum
import json
import pathlib
import sys
import typing

import cappa

from lentildeal._internal.cli import server as server_module
from lentildeal._internal.cli import status_codes
from lentildeal._internal import exceptions

SERVER_VARIABLE = 'LENTILDEAL_SERVER'


class OutputFormat(str, enum.Enum):
    """Format of a command's output."""

    TABLE = 'table'
    JSON = 'json'


class UsageError(exceptions.LentildealError):
    """The command line is invalid or a file it names can't be read."""

    default_remedy = 'run the command with --help'


@dataclasses.dataclass(kw_only=True)
class Command(abc.ABC):
    """Base class of a command; the fields are its options and arguments."""

    server: typing.Annotated[
        typing.Optional[str],
        cappa.Arg(
            long='--server',
            default=cappa.Env(SERVER_VARIABLE, default=None),
            show_default=False,
            help='Addresses "ip:port" of daemons, separated by commas and'
            f' tried in turn (default: environment {SERVER_VARIABLE}).',
        ),
    ]
    format: typing.Annotated[
        OutputFormat,
        cappa.Arg(
            long='--format', help='Form of the output.', show_default=False
        ),
    ] = OutputFormat.TABLE
    verbose: typing.Annotated[
        bool,
        cappa.Arg(
            long='--verbose',
            short='-v',
            help='Show each request on stderr.',
            show_default=False,
        ),
    ] = False

    @abc.abstractmethod
    def run(self) -> status_codes.Status:
        """Runs the command and returns its exit status.

        Raises:
            exceptions.LentildealError: The command failed.
        """

    @property
    def is_json(self) -> bool:
        """Whether the output is JSON."""
        return self.format is OutputFormat.JSON

    def connect(self) -> server_module.Server:
        """Creates a client for the servers named by ``--server``.

        Raises:
            UsageError: No server is named.
        """
        addresses = [a.strip() for a in (self.server or '').split(',')]
        addresses = [address for address in addresses if address]
        if not addresses:
            raise UsageError(
                'no server is named',
                remedy=f'give --server IP:PORT or set {SERVER_VARIABLE}',
            )
        return server_module.Server(addresses, self.verbose)


def print_json(value: typing.Any) -> None:
    """Prints a value to standard output as JSON."""
    json.dump(value, sys.stdout, indent=2, ensure_ascii=False)
    sys.stdout.write('\n')


def read_text(path: pathlib.Path) -> str:
    """Reads a UTF-8 text from a file, or from standard input for "-".

    Raises:
        UsageError: The file can't be read or is not UTF-8.
    """
    try:
        if str(path) == '-':
            return sys.stdin.buffer.read().decode('utf-8')
        return path.read_bytes().decode('utf-8')
    except UnicodeDecodeError as error:
        raise UsageError(
            f'{path}: not UTF-8 at byte {error.start}',
            remedy='save the file as UTF-8',
        ) from error
    except OSError as error:
        raise UsageError(
            f'{path}: {error.strerror}', remedy='check the name of the file'
        ) from error
