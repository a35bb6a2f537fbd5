"""Client commands, one module each, and their registry.

A module is imported only when its command runs.
"""

from __future__ import annotations

import importlib
import typing

if typing.TYPE_CHECKING:
    from lentildeal._internal.cli import base

_PACKAGE = 'lentildeal._internal.commands'


class Entry(typing.NamedTuple):
    """Module, class and one-line summary of a command."""

    module: str
    class_name: str
    summary: str


COMMANDS: dict[str, Entry] = {
    'config check': Entry(
        'config_check', 'ConfigCheck', 'Check a text without publishing it.'
    ),
    'config diff': Entry(
        'config_diff', 'ConfigDiff', 'Compare a text with the one in effect.'
    ),
    'config publish': Entry(
        'config_publish', 'ConfigPublish', 'Publish a text.'
    ),
    'config show': Entry(
        'config_show', 'ConfigShow', 'Print the text in effect.'
    ),
    'config history': Entry(
        'config_history', 'ConfigHistory', 'List the edits kept in the log.'
    ),
    'status': Entry(
        'status', 'ShowStatus', 'Show the state of a daemon or of all.'
    ),
    'drain': Entry('drain', 'Drain', 'Begin a planned stop of a daemon.'),
    'explain': Entry(
        'explain', 'Explain', 'Tell what happened to a request, from logs.'
    ),
    'route explain': Entry(
        'route_explain', 'RouteExplain', 'Show where a request would go.'
    ),
    'report burn': Entry(
        'report_burn', 'ReportBurn', 'Show how fast error budgets burn.'
    ),
    'report losses': Entry(
        'report_losses', 'ReportLosses', 'Show lost work by cause, from logs.'
    ),
}


def find_name(arguments: list[str]) -> typing.Optional[str]:
    """Finds the command named by the first arguments, None if unknown."""
    for count in (2, 1):
        name = ' '.join(arguments[:count])
        if len(arguments) >= count and name in COMMANDS:
            return name
    return None


def parse(name: str, arguments: list[str], program: str) -> base.Command:
    """Imports a command and parses its options.

    Exits with the status of a usage error if the options are invalid.
    """
    import cappa

    entry = COMMANDS[name]
    module = importlib.import_module(f'{_PACKAGE}.{entry.module}')
    cls = cappa.command(
        getattr(module, entry.class_name),
        name=f'{program} {name}',
        help=entry.summary,
    )
    return cappa.parse(cls, argv=arguments, completion=False)
