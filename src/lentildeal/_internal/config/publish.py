"""Plug-in that publishes texts and reports the text in effect."""

from __future__ import annotations

import dataclasses
import http
import json
import typing
import uuid

from loguru import logger
import prometheus_client

from lentildeal._internal.config import checks
from lentildeal._internal.config import jsonc
from lentildeal._internal.config import reader as reader_module
from lentildeal._internal.config import records
from lentildeal._internal import exceptions
from lentildeal._internal.kernel import plugins
from lentildeal._internal.models import ids
from lentildeal._internal.models import members
from lentildeal._internal.models import outcomes
from lentildeal._internal.network import http_server
from lentildeal._internal.network import problems
from lentildeal._internal.utils import clock

# Longest time that a publish request waits for its outcome, in seconds. An
# append to the log times out after 2 s.
OUTCOME_WAIT_S = 8.0
# Time after a lost response before the record is appended again, in seconds;
# the second copy has no effect if the first one is in the log.
APPEND_RETRY_S = 1.0
# Longest wait until this instance has read the base of an edit, in seconds.
BASE_WAIT_S = 2.0
MAX_NAME_LENGTH = 200

_STATUSES = {
    records.EditOutcome.ACCEPTED: http.HTTPStatus.OK,
    records.EditOutcome.CONFLICT: http.HTTPStatus.CONFLICT,
    records.EditOutcome.INVALID: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    records.EditOutcome.UNKNOWN: http.HTTPStatus.ACCEPTED,
}

_edits_total = prometheus_client.Counter(
    'lentildeal_config_edits_total',
    'Edits published through this instance, by verdict.',
    ['verdict'],
)


@dataclasses.dataclass(frozen=True)
class _PublishRequest:
    """A publish request.

    Attributes:
        edit: Edit to append.
        is_repeated: Whether an earlier request may have appended the edit.
    """

    edit: records.Edit
    is_repeated: bool


@plugins.register('publish', after=('config',))
class ConfigPublisher(plugins.Plugin):
    """Serves the configuration routes of the HTTP API."""

    def __init__(self, kernel) -> None:
        super().__init__(kernel)
        self._reader: reader_module.ConfigReader = kernel.plugin('config')

    def start(self) -> None:
        """Adds the routes."""
        add = self._kernel.router.add
        add('POST', '/v1/config', self._publish)
        add('GET', '/v1/config', self._show)
        add('GET', '/v1/config/history', self._show_history)
        add('GET', '/v1/config/members', self._show_members)
        add('GET', '/v1/config/edits/{edit_id}', self._show_edit)

    def _show(self, request: http_server.Request) -> http_server.Response:
        reader = self._reader
        return http_server.json_response(
            {
                'revision': reader.revision,
                'text': reader.raw_text,
                'folded_to': reader.applied_offset,
                'is_log_reachable': reader.is_log_reachable,
                'has_gap': reader.has_gap,
            }
        )

    def _show_history(
        self, request: http_server.Request
    ) -> http_server.Response:
        entries = [
            {
                'revision': entry.offset,
                'base': entry.base,
                'author': entry.author,
                'verdict': entry.outcome.value,
                'edit_id': entry.edit_id,
            }
            for entry in self._reader.state_machine.history
            if entry.offset >= self._reader.state_machine.oldest_offset
        ]
        return http_server.json_response(
            {'revision': self._reader.revision, 'records': entries}
        )

    def _show_members(
        self, request: http_server.Request
    ) -> http_server.Response:
        return http_server.json_response(
            {
                'revision': self._reader.revision,
                'members': [_describe_member(m) for m in self._list_members()],
                'cut_off_domains': sorted(self._cut_off_domains()),
            }
        )

    def _show_edit(self, request: http_server.Request) -> http_server.Response:
        base = request.query.get('base')
        try:
            number = None if base is None else ids.Revision(int(base))
        except ValueError as error:
            raise exceptions.BadRequestError(
                f'base {base!r} is not a revision'
            ) from error
        edit_id = request.parameters['edit_id']
        outcome = self._reader.state_machine.find_outcome(edit_id, number)
        return self._to_response(edit_id, outcome, http.HTTPStatus.OK)

    def _publish(self, request: http_server.Request) -> http_server.Response:
        parsed = _parse_request(request)
        try:
            checks.check_text(parsed.edit.text)
        except jsonc.TextFaultsError as error:
            return _make_faults_response(error)
        outcome = self._find_early_outcome(parsed)
        if outcome is None:
            outcome = self._append(parsed)
        _edits_total.labels(outcome.value).inc()
        logger.info(
            'edit {} by {}: {}',
            parsed.edit.edit_id,
            parsed.edit.author,
            outcome.value,
        )
        return self._to_response(parsed.edit.edit_id, outcome)

    def _find_early_outcome(
        self, parsed: _PublishRequest
    ) -> typing.Optional[records.EditOutcome]:
        """Finds the outcome of an edit without an append.

        Returns:
            The outcome, or None if the edit has to be appended.

        Raises:
            exceptions.NotRunError: This instance has not read the base of the
                edit.
        """
        edit, reader = parsed.edit, self._reader
        deadline = clock.Deadline(BASE_WAIT_S)
        while reader.revision < edit.base and not deadline.has_passed:
            reader.wait_for_page(deadline.remaining_s)
        outcome = reader.state_machine.find_outcome(edit.edit_id, edit.base)
        if outcome is not records.EditOutcome.UNKNOWN:
            return outcome
        if reader.revision > edit.base:
            # An earlier copy may have been accepted in records that this
            # instance has not read.
            return (
                outcome if parsed.is_repeated else records.EditOutcome.CONFLICT
            )
        if reader.revision == edit.base and not reader.has_gap:
            return None
        if parsed.is_repeated:
            return outcome
        raise _make_not_run_error(
            f'this instance has read the configuration only up to'
            f' revision {reader.revision}',
            outcomes.Cause.NO_CONFIGURATION,
            'publish at another instance or wait until this one has caught up',
        )

    def _append(self, parsed: _PublishRequest) -> records.EditOutcome:
        """Appends the edit and waits until it is read back and decided."""
        edit = parsed.edit
        deadline = clock.Deadline(OUTCOME_WAIT_S)
        may_be_in_log = parsed.is_repeated
        while not deadline.has_passed:
            wait_s = APPEND_RETRY_S
            try:
                self._reader.log.append(records.STREAM, edit.to_body())
                may_be_in_log = True
                wait_s = deadline.remaining_s
            except exceptions.LogUnavailableError as error:
                if not may_be_in_log:
                    raise _make_not_run_error(
                        f'nothing was published: {error.message}',
                        outcomes.Cause.LOG_DOWN,
                        'publish again when the log service is reachable',
                    ) from error
            except exceptions.LogAnswerLostError:
                may_be_in_log = True
            outcome = self._wait_for_outcome(edit, wait_s)
            if outcome is not records.EditOutcome.UNKNOWN:
                return outcome
        return records.EditOutcome.UNKNOWN

    def _wait_for_outcome(
        self, edit: records.Edit, wait_s: float
    ) -> records.EditOutcome:
        deadline = clock.Deadline(wait_s)
        while True:
            outcome = self._reader.state_machine.find_outcome(
                edit.edit_id, edit.base
            )
            if (
                outcome is not records.EditOutcome.UNKNOWN
                or deadline.has_passed
            ):
                return outcome
            self._reader.wait_for_page(deadline.remaining_s)

    def _to_response(
        self,
        edit_id: str,
        outcome: records.EditOutcome,
        status: typing.Optional[http.HTTPStatus] = None,
    ) -> http_server.Response:
        entry = self._reader.state_machine.find_entry(edit_id)
        revision = self._reader.revision
        if outcome is records.EditOutcome.ACCEPTED:
            revision = entry.offset
        return http_server.json_response(
            {
                'edit_id': edit_id,
                'verdict': outcome.value,
                'revision': revision,
            },
            status or _STATUSES[outcome],
        )

    def _list_members(self) -> list[members.Member]:
        membership = self._kernel.find_plugin('membership')
        return [] if membership is None else list(membership.members())

    def _cut_off_domains(self) -> typing.Iterable[ids.FailureDomain]:
        membership = self._kernel.find_plugin('membership')
        return () if membership is None else membership.cut_off_domains()


def _parse_request(request: http_server.Request) -> _PublishRequest:
    body = request.read_json()
    if not isinstance(body, dict):
        raise exceptions.BadRequestError('the body is not a JSON object')
    base = body.get('base')
    if not isinstance(base, int) or isinstance(base, bool) or base < -1:
        raise exceptions.BadRequestError(
            f'base is {base!r}',
            remedy='give the revision that the edit was made from, -1 for'
            ' the first text',
        )
    edit = records.Edit(
        edit_id=_read_string(body, 'edit_id', str(uuid.uuid4())),
        base=ids.Revision(base),
        author=_read_string(body, 'author', 'unnamed'),
        text=_read_string(body, 'text', None, None),
    )
    # A client that sets the identifier itself may be retrying.
    is_repeated = bool(body.get('is_repeated', 'edit_id' in body))
    return _PublishRequest(edit, is_repeated)


def _read_string(
    body: dict,
    name: str,
    default: typing.Optional[str],
    longest: typing.Optional[int] = MAX_NAME_LENGTH,
) -> str:
    value = body.get(name, default)
    if not isinstance(value, str) or not value:
        raise exceptions.BadRequestError(f'"{name}" is not a string or empty')
    if longest is not None and len(value) > longest:
        raise exceptions.BadRequestError(
            f'"{name}" has {len(value)} characters, at most {longest} are'
            ' allowed'
        )
    return value


def _make_not_run_error(
    message: str, cause: outcomes.Cause, remedy: str
) -> exceptions.NotRunError:
    return exceptions.NotRunError(message, cause=cause.value, remedy=remedy)


def _make_faults_response(
    error: jsonc.TextFaultsError,
) -> http_server.Response:
    """Makes the error response to an invalid text, with all its faults."""
    count = len(error.faults)
    response = problems.to_response(
        exceptions.ConfigError(
            f'the text has {count} fault{"s" if count > 1 else ""};'
            f' nothing was published'
        )
    )
    details = json.loads(response.body)
    details['outcome'] = outcomes.Outcome.NOT_RUN.value
    details['faults'] = [dataclasses.asdict(f) for f in error.faults]
    body = json.dumps(details).encode()
    return dataclasses.replace(response, body=body)


def _describe_member(member: members.Member) -> dict:
    return {
        'instance': member.instance,
        'failure_domain': member.failure_domain,
        'state': member.state.value,
        'revision': member.revision,
        'http_address': member.http_address,
    }
