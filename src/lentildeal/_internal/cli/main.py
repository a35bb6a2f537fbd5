"""Entry of the command-line client ``lentildeal``."""

from __future__ import annotations

import difflib
import os
import sys
import traceback
import typing

from lentildeal._internal.cli import status_codes
from lentildeal._internal import commands
from lentildeal._internal import exceptions

PROGRAM = 'lentildeal'


def main(arguments: typing.Optional[list[str]] = None) -> int:
    """Runs the client and returns its exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        return int(_run(arguments))
    except exceptions.LentildealError as error:
        return int(_report(error))
    except KeyboardInterrupt:
        print(f'{PROGRAM}: interrupted', file=sys.stderr)
        return int(status_codes.Status.INTERRUPTED)
    except Exception as error:
        return int(_report_unexpected(error, arguments))


def _report_unexpected(
    error: Exception, arguments: list[str]
) -> status_codes.Status:
    if isinstance(error, BrokenPipeError):
        # The reader of the output has gone; the interpreter would complain
        # when it flushes standard output at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return status_codes.Status.OK
    if '-v' in arguments or '--verbose' in arguments:
        traceback.print_exception(error)
    print(f'{PROGRAM}: unexpected error: {error!r}', file=sys.stderr)
    print('remedy: run it again with --verbose and report it', file=sys.stderr)
    return status_codes.Status.INTERNAL


def _run(arguments: list[str]) -> status_codes.Status:
    if not arguments or arguments[0] in ('-h', '--help'):
        print(_format_overview())
        return status_codes.Status.OK
    name = commands.find_name(arguments)
    if name is None:
        return _report_unknown(arguments)
    command = commands.parse(name, arguments[len(name.split()) :], PROGRAM)
    return command.run()


def _format_overview() -> str:
    lines = [f'Usage: {PROGRAM} COMMAND [OPTIONS]', '', 'Commands:']
    width = max(len(name) for name in commands.COMMANDS)
    for name, entry in commands.COMMANDS.items():
        lines.append(f'  {name:{width}}  {entry.summary}')
    lines += ['', f'"{PROGRAM} COMMAND --help" describes a command.']
    return '\n'.join(lines)


def _report_unknown(arguments: list[str]) -> status_codes.Status:
    words = ' '.join(arguments[:2])
    known = [n for n in commands.COMMANDS if n.startswith(f'{arguments[0]} ')]
    print(f'{PROGRAM}: there is no command "{words}"', file=sys.stderr)
    nearest = difflib.get_close_matches(words, commands.COMMANDS, 1, 0.4)
    if known:
        print(f'remedy: use {", ".join(known)}', file=sys.stderr)
    elif nearest:
        print(f'remedy: did you mean "{nearest[0]}"?', file=sys.stderr)
    else:
        print(f'remedy: see "{PROGRAM} --help"', file=sys.stderr)
    return status_codes.Status.USAGE


def _report(error: exceptions.LentildealError) -> status_codes.Status:
    # The modules that define these errors are loaded only by commands.
    from lentildeal._internal.cli import base
    from lentildeal._internal.cli import server

    print(f'{PROGRAM}: {error.message}', file=sys.stderr)
    for fault in getattr(error, 'problem', {}).get('faults', ()):
        place = f'line {fault["line"]}: ' if fault['line'] else ''
        print(
            f'  {place}{fault["path"]}: {fault["problem"]}; {fault["remedy"]}',
            file=sys.stderr,
        )
    print(f'remedy: {error.remedy}', file=sys.stderr)
    if isinstance(error, base.UsageError):
        return status_codes.Status.USAGE
    if isinstance(error, server.UnreachableError):
        return status_codes.Status.UNREACHABLE
    if isinstance(error, server.AnswerLostError):
        return status_codes.Status.UNKNOWN
    if isinstance(error, server.RefusedError):
        if 'faults' in error.problem:
            return status_codes.Status.FAULTS
        return status_codes.Status.REFUSED
    return status_codes.Status.INTERNAL


if __name__ == '__main__':
    sys.exit(main())
