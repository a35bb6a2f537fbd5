"""Command ``config publish``."""

from __future__ import annotations

import dataclasses
import getpass
import pathlib
import sys
import time
import typing
import uuid

import cappa

from lentildeal._internal.cli import base
from lentildeal._internal.cli import progress
from lentildeal._internal.cli import server as server_module
from lentildeal._internal.cli import status_codes
from lentildeal._internal.config import checks
from lentildeal._internal.config import jsonc

# Time limit for finding the verdict of an edit whose response was lost.
VERDICT_TIMEOUT_S = 20.0

_STATUSES = {
    'accepted': status_codes.Status.OK,
    'conflict': status_codes.Status.CONFLICT,
    'invalid': status_codes.Status.FAULTS,
    'unknown': status_codes.Status.UNKNOWN,
}


@dataclasses.dataclass(kw_only=True)
class ConfigPublish(base.Command):
    """Publishes a text that was made from the revision in effect.

    If another edit of that revision was accepted, this edit conflicts and has
    no effect. A verdict is only reported when it is certain.
    """

    file: typing.Annotated[
        pathlib.Path, cappa.Arg(help='File of the text, "-" for stdin.')
    ]
    base: typing.Annotated[
        int,
        cappa.Arg(
            long='--base',
            help='Revision that the text was made from, -1 for the first.',
        ),
    ]
    author: typing.Annotated[
        typing.Optional[str],
        cappa.Arg(
            long='--author',
            show_default=False,
            help='Name for the history (default: the user).',
        ),
    ] = None
    wait: typing.Annotated[
        bool,
        cappa.Arg(
            long='--wait',
            show_default=False,
            help='Wait until the text is in effect at all live members.',
        ),
    ] = False
    wait_seconds: typing.Annotated[
        float,
        cappa.Arg(long='--wait-seconds', help='Longest wait of --wait.'),
    ] = 30.0

    def run(self) -> status_codes.Status:
        """See the base class."""
        text = base.read_text(self.file)
        try:
            checks.check_text(text)
        except jsonc.TextFaultsError as error:
            print(f'{self.file}: nothing was published', file=sys.stderr)
            for fault in error.faults:
                print(f'  {fault}', file=sys.stderr)
            return status_codes.Status.FAULTS
        server = self.connect()
        result = self.publish(server, text)
        if result['verdict'] != 'accepted' or not self.wait:
            self._print(result)
            return _STATUSES[result['verdict']]
        missing = self._wait_for_members(server, result['revision'])
        self._print({**result, 'not_confirmed': missing})
        if missing:
            return status_codes.Status.NOT_EVERYWHERE
        return status_codes.Status.OK

    def publish(self, server: server_module.Server, text: str) -> dict:
        """Sends the edit and returns the server's verdict on it."""
        edit_id = str(uuid.uuid4())
        edit = {
            'base': self.base,
            'text': text,
            'author': self.author or _get_user(),
            'edit_id': edit_id,
            'is_repeated': False,
        }
        try:
            result = server.post('/v1/config', edit).value
        except server_module.AnswerLostError as error:
            print(f'{error.message}; sending the edit again', file=sys.stderr)
            result = {'verdict': 'unknown', 'edit_id': edit_id}
        if result['verdict'] == 'unknown':
            result = self._find_verdict(server, edit, result)
        return result

    def _find_verdict(self, server, edit: dict, result: dict) -> dict:
        """Resends the edit until a server knows its verdict.

        Edits are idempotent: two copies have the effect of one.
        """
        publish_progress = progress.Progress('publish')
        deadline_s = time.monotonic() + VERDICT_TIMEOUT_S
        while result['verdict'] == 'unknown':
            if time.monotonic() >= deadline_s:
                break
            publish_progress.update('the verdict is not known yet')
            time.sleep(0.2)
            try:
                response = server.post(
                    '/v1/config', {**edit, 'is_repeated': True}
                )
                result = response.value
            except (
                server_module.AnswerLostError,
                server_module.UnreachableError,
                server_module.RefusedError,
            ):
                continue
        return result

    def _wait_for_members(self, server, revision: int) -> list[dict]:
        """Waits for all members to confirm; returns those that have not."""
        missing: list[dict] = []

        def find_missing() -> typing.Optional[str]:
            missing[:] = _find_unconfirmed(server, revision)
            names = ', '.join(member['instance'] for member in missing)
            return f'not yet confirmed by {names}' if missing else None

        progress.poll('in effect everywhere', find_missing, self.wait_seconds)
        return missing

    def _print(self, result: dict) -> None:
        if self.is_json:
            base.print_json(result)
            return
        print(_format_result(result, self.base))
        for member in result.get('not_confirmed', ()):
            print(
                f'  not confirmed: {member["instance"]}'
                f' ({member["failure_domain"]}, {member["state"]}),'
                f' at revision {member["revision"]}'
            )


def _find_unconfirmed(
    server: server_module.Server, revision: int
) -> list[dict]:
    try:
        response = server.get('/v1/config/members').value
    except (server_module.UnreachableError, server_module.RefusedError):
        return [_make_placeholder_member('the servers asked')]
    if not response['members']:
        return [
            _make_placeholder_member('the members, which are not known yet')
        ]
    return [
        member
        for member in response['members']
        if member['state'] in ('live', 'suspect')
        and member['revision'] < revision
    ]


def _make_placeholder_member(name: str) -> dict:
    no_response = {'failure_domain': '-', 'state': 'no answer', 'revision': -1}
    return {'instance': name, **no_response}


def _format_result(result: dict, base_revision: int) -> str:
    verdict = result['verdict']
    if verdict == 'accepted':
        if result.get('not_confirmed') == []:
            scope = ', in effect at all live members'
        else:
            scope = ''
        return f'accepted as revision {result["revision"]}{scope}'
    if verdict == 'conflict':
        return (
            f'conflict: revision {base_revision} is no longer in effect,'
            f' revision {result["revision"]} is; nothing was changed\n'
            'remedy: run "lentildeal config diff", merge and publish again'
        )
    if verdict == 'invalid':
        return (
            'invalid: the daemons refuse the text; nothing was changed\n'
            'remedy: use the client of the release that the daemons run'
        )
    return (
        'unknown: the edit may or may not be accepted\n'
        f'remedy: look for edit {result["edit_id"]} with'
        ' "lentildeal config history" before you publish again'
    )


def _get_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return 'unnamed'
