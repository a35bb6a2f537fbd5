"""Entry point of the command-line client ``lentildeal``."""

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
        return int(_report_error(error))
    except KeyboardInterrupt:
        print(f'{PROGRAM}: interrupted', file=sys.stderr)
        return int(status_codes.Status.INTERRUPTED)
    except Exception as error:
        return int(_report_unexpected_error(error, arguments))


def _report_unexpected_error(
    error: Exception, arguments: list[str]
) -> status_codes.Status:
    if isinstance(error, BrokenPipeError):
        # The reader closed the pipe. Standard output is redirected so that
        # the interpreter's flush at exit doesn't fail as well.
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
        return _report_unknown_command(arguments)
    command = commands.parse(name, arguments[len(name.split()) :], PROGRAM)
    return command.run()


def _format_overview() -> str:
    lines = [f'Usage: {PROGRAM} COMMAND [OPTIONS]', '', 'Commands:']
    width = max(len(name) for name in commands.COMMANDS)
    for name, entry in commands.COMMANDS.items():
        lines.append(f'  {name:{width}}  {entry.summary}')
    lines += ['', f'"{PROGRAM} COMMAND --help" describes a command.']
    return '\n'.join(lines)


def _report_unknown_command(arguments: list[str]) -> status_codes.Status:
    words = ' '.join(arguments[:2])
    candidates = [
        n for n in commands.COMMANDS if n.startswith(f'{arguments[0]} ')
    ]
    print(f'{PROGRAM}: there is no command "{words}"', file=sys.stderr)
    close_matches = difflib.get_close_matches(words, commands.COMMANDS, 1, 0.4)
    if candidates:
        print(f'remedy: use {", ".join(candidates)}', file=sys.stderr)
    elif close_matches:
        print(f'remedy: did you mean "{close_matches[0]}"?', file=sys.stderr)
    else:
        print(f'remedy: see "{PROGRAM} --help"', file=sys.stderr)
    return status_codes.Status.USAGE


def _report_error(error: exceptions.LentildealError) -> status_codes.Status:
    # Imported here because only commands need the modules of these errors.
    from lentildeal._internal.cli import base
    from lentildeal._internal.cli import server

    print(f'{PROGRAM}: {error.message}', file=sys.stderr)
    for fault in getattr(error, 'problem', {}).get('faults', ()):
        where = f'line {fault["line"]}: ' if fault['line'] else ''
        print(
            f'  {where}{fault["path"]}: {fault["problem"]}; {fault["remedy"]}',
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
