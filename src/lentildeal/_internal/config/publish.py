"""Plug-in that publishes texts and reports what is in effect."""

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

# Longest time that a publish call waits for its verdict, in seconds. The
# log's answer takes 2 s at most before it counts as lost.
VERDICT_WAIT_S = 8.0
# Time after a lost answer before the record is appended once more, in
# seconds; a second copy has no effect if the first one arrived.
APPEND_AGAIN_S = 1.0
# Time for this instance to learn of a base that it doesn't know yet.
BASE_WAIT_S = 2.0
MAX_NAME_LENGTH = 200

_STATUSES = {
    records.Verdict.ACCEPTED: http.HTTPStatus.OK,
    records.Verdict.CONFLICT: http.HTTPStatus.CONFLICT,
    records.Verdict.INVALID: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    records.Verdict.UNKNOWN: http.HTTPStatus.ACCEPTED,
}

_edits_total = prometheus_client.Counter(
    'lentildeal_config_edits_total',
    'Edits published through this instance, by verdict.',
    ['verdict'],
)


@dataclasses.dataclass(frozen=True)
class _PublishCall:
    """A publish request.

    Attributes:
        edit: What to append.
        is_repeated: Whether an earlier request may have appended it.
    """

    edit: records.Edit
    is_repeated: bool


@plugins.register('publish', after=('config',))
class ConfigPublisher(plugins.Plugin):
    """Takes edits from operators."""

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
                'folded_to': reader.folded_to,
                'is_log_reachable': reader.is_log_reachable,
                'has_gap': reader.has_gap,
            }
        )

    def _show_history(
        self, request: http_server.Request
    ) -> http_server.Response:
        history = [
            {
                'revision': judgement.offset,
                'base': judgement.base,
                'author': judgement.author,
                'verdict': judgement.verdict.value,
                'edit_id': judgement.edit_id,
            }
            for judgement in self._reader.fold.judgements
            if judgement.offset >= self._reader.fold.oldest
        ]
        return http_server.json_response(
            {'revision': self._reader.revision, 'records': history}
        )

    def _show_members(
        self, request: http_server.Request
    ) -> http_server.Response:
        return http_server.json_response(
            {
                'revision': self._reader.revision,
                'members': [_describe(m) for m in self._list_members()],
                'cut_off_domains': sorted(self._cut_off_domains()),
            }
        )

    def _show_edit(self, request: http_server.Request) -> http_server.Response:
        base = request.query.get('base')
        try:
            number = None if base is None else ids.Revision(int(base))
        except ValueError as error:
            raise exceptions.BadRequestError(
                f'base {base!r} is no revision'
            ) from error
        edit_id = request.parameters['edit_id']
        verdict = self._reader.fold.find_verdict(edit_id, number)
        return self._to_response(edit_id, verdict, http.HTTPStatus.OK)

    def _publish(self, request: http_server.Request) -> http_server.Response:
        call = _read_call(request)
        try:
            checks.check_text(call.edit.text)
        except jsonc.TextFaultsError as error:
            return _faults_response(error)
        verdict = self._judge_early(call)
        if verdict is None:
            verdict = self._append(call)
        _edits_total.labels(verdict.value).inc()
        logger.info(
            'edit {} of {}: {}',
            call.edit.edit_id,
            call.edit.author,
            verdict.value,
        )
        return self._to_response(call.edit.edit_id, verdict)

    def _judge_early(
        self, call: _PublishCall
    ) -> typing.Optional[records.Verdict]:
        """Finds the verdict of an edit that needs no append, else None."""
        edit, reader = call.edit, self._reader
        deadline = clock.Deadline(BASE_WAIT_S)
        while reader.revision < edit.base and not deadline.has_passed:
            reader.wait_progress(deadline.remaining_s)
        verdict = reader.fold.find_verdict(edit.edit_id, edit.base)
        if verdict is not records.Verdict.UNKNOWN:
            return verdict
        if reader.revision > edit.base:
            # An earlier copy may have been accepted before the records that
            # this instance has folded.
            return verdict if call.is_repeated else records.Verdict.CONFLICT
        if reader.revision == edit.base and not reader.has_gap:
            return None
        if call.is_repeated:
            return verdict
        raise _refusal(
            f'this instance knows the configuration up to revision'
            f' {reader.revision} only',
            outcomes.Cause.NO_CONFIGURATION,
            'publish at another instance or wait until this one has caught up',
        )

    def _append(self, call: _PublishCall) -> records.Verdict:
        """Appends the edit and waits until the own fold has judged it."""
        edit = call.edit
        deadline = clock.Deadline(VERDICT_WAIT_S)
        may_be_in_log = call.is_repeated
        while not deadline.has_passed:
            wait_s = APPEND_AGAIN_S
            try:
                self._reader.log.append(records.STREAM, edit.to_body())
                may_be_in_log = True
                wait_s = deadline.remaining_s
            except exceptions.LogUnavailableError as error:
                if not may_be_in_log:
                    raise _refusal(
                        f'nothing was published: {error.message}',
                        outcomes.Cause.LOG_DOWN,
                        'publish again when the log answers',
                    ) from error
            except exceptions.LogAnswerLostError:
                may_be_in_log = True
            verdict = self._wait_verdict(edit, wait_s)
            if verdict is not records.Verdict.UNKNOWN:
                return verdict
        return records.Verdict.UNKNOWN

    def _wait_verdict(
        self, edit: records.Edit, wait_s: float
    ) -> records.Verdict:
        deadline = clock.Deadline(wait_s)
        while True:
            verdict = self._reader.fold.find_verdict(edit.edit_id, edit.base)
            if verdict is not records.Verdict.UNKNOWN or deadline.has_passed:
                return verdict
            self._reader.wait_progress(deadline.remaining_s)

    def _to_response(
        self,
        edit_id: str,
        verdict: records.Verdict,
        status: typing.Optional[http.HTTPStatus] = None,
    ) -> http_server.Response:
        judgement = self._reader.fold.find_judgement(edit_id)
        revision = self._reader.revision
        if verdict is records.Verdict.ACCEPTED:
            revision = judgement.offset
        return http_server.json_response(
            {
                'edit_id': edit_id,
                'verdict': verdict.value,
                'revision': revision,
            },
            status or _STATUSES[verdict],
        )

    def _list_members(self) -> list[members.Member]:
        membership = self._kernel.find_plugin('membership')
        return [] if membership is None else list(membership.members())

    def _cut_off_domains(self) -> typing.Iterable[ids.FailureDomain]:
        membership = self._kernel.find_plugin('membership')
        return () if membership is None else membership.cut_off_domains()


def _read_call(request: http_server.Request) -> _PublishCall:
    body = request.read_json()
    if not isinstance(body, dict):
        raise exceptions.BadRequestError('the body is no JSON object')
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
    # The sender of an id of its own may have sent it before.
    is_repeated = bool(body.get('is_repeated', 'edit_id' in body))
    return _PublishCall(edit, is_repeated)


def _read_string(
    body: dict,
    name: str,
    default: typing.Optional[str],
    longest: typing.Optional[int] = MAX_NAME_LENGTH,
) -> str:
    value = body.get(name, default)
    if not isinstance(value, str) or not value:
        raise exceptions.BadRequestError(f'"{name}" is no string or empty')
    if longest is not None and len(value) > longest:
        raise exceptions.BadRequestError(
            f'"{name}" has {len(value)} characters, {longest} are allowed'
        )
    return value


def _refusal(
    message: str, cause: outcomes.Cause, remedy: str
) -> exceptions.NotRunError:
    return exceptions.NotRunError(message, cause=cause.value, remedy=remedy)


def _faults_response(error: jsonc.TextFaultsError) -> http_server.Response:
    """Makes the problem of an invalid text, with all of its faults."""
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


def _describe(member: members.Member) -> dict:
    return {
        'instance': member.instance,
        'failure_domain': member.failure_domain,
        'state': member.state.value,
        'revision': member.revision,
        'http_address': member.http_address,
    }
