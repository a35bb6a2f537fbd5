"""Adapter of the external platform."""

from __future__ import annotations

import json
import typing
import uuid

from lentildeal._internal.adapters import platform_base
from lentildeal._internal import exceptions
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.network import http_client
from lentildeal._internal.platform import documents
from lentildeal._internal.platform import names
from lentildeal._internal.platform import store
from lentildeal._internal.settings import settings as settings_module
from lentildeal._internal.utils import decimals

# Replicas answer reports and orders from memory, within milliseconds. The
# timeout leaves room for the retransmission of a lost packet after 0.2 s.
CONTROL_TIMEOUT_S = 0.5
# The slow platform takes 60 times as long as its usual 4 ms. The limit is at
# most the time that a new lease holder waits for calls of the previous one
# (ORDER_FLIGHT_S of the lease manager).
DUTY_TIMEOUT_S = 0.9
MISDIRECTED_STATUS = 421
# Largest answer of a replica to a report, an order or a status check. A report
# has some hundred bytes for each model; decoded JSON can take tens of times
# its size.
MAX_CONTROL_BYTES = 256 * 1024
# Figure in a load report of a replica at which work takes as long as usual.
USUAL_WORK = 100

_ORDER_OUTCOMES = {
    202: platform_base.OrderOutcome.ACCEPTED,
    200: platform_base.OrderOutcome.ALREADY_LOADED,
    409: platform_base.OrderOutcome.CONFLICT,
    412: platform_base.OrderOutcome.FENCED,
}
_DUTY_OUTCOMES = {
    200: platform_base.DutyOutcome.DONE,
    409: platform_base.DutyOutcome.REFUSED,
    429: platform_base.DutyOutcome.THROTTLED,
}


@platform_base.platforms.register('platform')
class ExternalPlatform(platform_base.Platform):
    """Store, directory and replicas of the external platform."""

    directory_streams = (names.OPERATOR_STREAM, names.REPLICA_STREAM)

    def __init__(self, settings: settings_module.Settings) -> None:
        self.store = store.PlatformStore(settings.store)
        self._client = http_client.HttpClient()
        self._duties = settings.duties

    def reload(self, settings: settings_module.Settings) -> None:
        """See the base class."""
        self.store.reload(settings.store)
        self._duties = settings.duties

    def decode_change(
        self, stream: str, record: platform_base.KeyedRecord
    ) -> typing.Optional[deployment.Change]:
        """See the base class."""
        if stream == names.REPLICA_STREAM:
            return _decode_replica_change(record)
        if record.value is None:
            return None
        if record.key == names.TEXT_KEY:
            document = store.decode_json(record.value)
            return deployment.TextChange(documents.decode_text(document))
        if record.key.startswith(names.VERSION_KEY_PREFIX):
            return documents.decode_version(store.decode_json(record.value))
        return None

    def make_headers(
        self,
        replica: deployment.Replica,
        *,
        request_id: typing.Optional[str] = None,
        deadline_s: typing.Optional[float] = None,
        resume_after: typing.Optional[str] = None,
        account: typing.Optional[ids.AccountName] = None,
    ) -> list[tuple[str, str]]:
        """See the base class."""
        headers = [(names.EXPECTED_REPLICA, replica.replica_id)]
        if account is not None:
            headers.append((names.ACCOUNT, account))
        if request_id is not None:
            headers.append((names.REQUEST_ID, request_id))
        if deadline_s is not None:
            headers.append((names.DEADLINE, str(int(deadline_s * 1000))))
        if resume_after is not None:
            headers.append((names.LAST_EVENT_ID, resume_after))
        return headers

    def read_response(
        self, status: int, headers: typing.Mapping[str, str]
    ) -> platform_base.ResponseInfo:
        """See the base class."""
        is_not_run = (
            names.NOT_EXECUTED.lower() in headers
            or status == MISDIRECTED_STATUS
        )
        return platform_base.ResponseInfo(
            request_id=headers.get(names.REQUEST_ID.lower()),
            is_not_run=is_not_run,
            version=_read_version(headers.get(names.VERSIONS.lower())),
            load=_read_load(headers.get(names.REPLICA_LOAD.lower())),
            signature=headers.get(names.STAMP.lower()),
            rate_limit=decimals.read_rate(
                headers.get(names.REQUEST_LIMIT.lower(), '')
            ),
            is_misdirected=status == MISDIRECTED_STATUS,
            is_leaving=_is_leaving(status, headers),
        )

    def read_event_version(
        self, fields: typing.Mapping[str, str]
    ) -> typing.Optional[ids.Version]:
        """See the base class."""
        return _read_version(fields.get(names.VERSIONS.lower()))

    def get_report(
        self, replica: deployment.Replica
    ) -> platform_base.ReplicaReport:
        """See the base class."""
        response = self._call(replica, 'GET', names.REPORT_PATH)
        if response.status != 200:
            raise exceptions.PlatformError(
                f'{replica.replica_id} answered a report request with'
                f' status {response.status}'
            )
        report = response.read_json()
        try:
            return platform_base.ReplicaReport(
                documents.decode_models(report['Models']),
                bool(report['Busy']),
                # Counts accepted orders; it is not the position of an entry.
                decimals.require_int(report['Sequence']),
                _is_leaving(response.status, response.headers),
            )
        except documents.DECODE_ERRORS as error:
            raise exceptions.UnreadableRecordError(
                f'invalid report of {replica.replica_id}: {error!r:.200}'
            ) from error

    def get_load(
        self, replica: deployment.Replica, health_path: str
    ) -> typing.Optional[platform_base.ReplicaLoad]:
        """See the base class."""
        # The header is on all answers, also on those of an unhealthy replica.
        response = self._call(replica, 'GET', health_path, has_id=False)
        if response.status == MISDIRECTED_STATUS:
            raise exceptions.PlatformError(
                f'another replica answers at {replica.address}'
            )
        return _read_load(response.headers.get(names.REPLICA_LOAD.lower()))

    def order_version(
        self, replica: deployment.Replica, order: platform_base.VersionOrder
    ) -> platform_base.OrderOutcome:
        """See the base class."""
        body = {
            'Op': 'Version',
            'Model': order.model,
            'Version': order.version,
            'Mode': 'retain' if order.keep_running else 'wait',
            'Holder': order.holder,
            'Fence': order.fence,
            'Expect': order.expected_orders,
        }
        response = self._call(replica, 'POST', names.ORDER_PATH, body)
        return _ORDER_OUTCOMES.get(
            response.status, platform_base.OrderOutcome.REFUSED
        )

    def report_usage(
        self,
        report: platform_base.UsageReport,
        duty: platform_base.DutyTerm,
    ) -> platform_base.DutyOutcome:
        """See the base class."""
        body = {'WindowId': report.window, 'Counts': dict(report.counts)}
        return self._call_duty(names.USAGE_PATH, body, duty)

    def order_replicas(
        self,
        order: platform_base.ReplicaOrder,
        duty: platform_base.DutyTerm,
    ) -> platform_base.DutyOutcome:
        """See the base class."""
        body: dict[str, typing.Any] = {
            'Service': order.service,
            'Zone': order.failure_domain,
            # Despite its name, this is the number of replicas.
            'BatchGroups': order.count,
        }
        if order.is_spot:
            body['Spot'] = True
        return self._call_duty(names.SCALE_PATH, body, duty)

    def _call_duty(
        self,
        path: str,
        body: dict[str, typing.Any],
        duty: platform_base.DutyTerm,
    ) -> platform_base.DutyOutcome:
        if self._duties is None:
            raise exceptions.PlatformError('the settings name no duties')
        headers = {
            'Content-Type': 'application/json',
            names.DUTY_HOLDER: duty.holder,
            names.FENCING_TOKEN: str(duty.fence),
        }
        try:
            response = self._client.request(
                'POST',
                f'http://{self._duties.address}{path}',
                timeout_s=DUTY_TIMEOUT_S,
                body=json.dumps(body).encode(),
                headers=headers,
                # Reports never change and orders are absolute, so that a
                # repeated call has no further effect.
                is_repeatable=True,
            )
        except (exceptions.NotRunError, exceptions.MayHaveRunError) as error:
            raise exceptions.PlatformError(error.message) from error
        if response.status not in _DUTY_OUTCOMES:
            raise exceptions.PlatformError(
                f'the platform answered {path} with status {response.status}'
            )
        return _DUTY_OUTCOMES[response.status]

    def _call(
        self,
        replica: deployment.Replica,
        method: str,
        path: str,
        value: typing.Any = None,
        *,
        has_id: bool = True,
    ) -> http_client.HttpResponse:
        request_id = uuid.uuid4().hex
        headers = {names.EXPECTED_REPLICA: replica.replica_id}
        client = self._client
        if has_id:
            headers[names.REQUEST_ID] = request_id
        else:
            # A replica without models would take a request with an id for one
            # of a client. A copy of an answer without an id could stand for
            # any later answer on its connection.
            client = http_client.HttpClient()
            headers['Connection'] = 'close'
        body = None
        if value is not None:
            body = json.dumps(value).encode()
            headers['Content-Type'] = 'application/json'
        try:
            response = client.request(
                method,
                f'http://{replica.address}{path}',
                timeout_s=CONTROL_TIMEOUT_S,
                body=body,
                headers=headers,
                # A repeated order carries the same order count, so it takes
                # effect at most once.
                is_repeatable=True,
                limit_bytes=MAX_CONTROL_BYTES,
            )
        except (exceptions.NotRunError, exceptions.MayHaveRunError) as error:
            raise exceptions.PlatformError(error.message) from error
        answered_id = response.headers.get(names.REQUEST_ID.lower())
        if answered_id not in (None, request_id):
            # A late copy of an earlier answer; its connection has more.
            client.close_idle()
            raise exceptions.PlatformError(
                f'{replica.replica_id} answered another request to {path}'
            )
        return response


def _decode_replica_change(
    record: platform_base.KeyedRecord,
) -> deployment.ReplicaChange:
    replica_id = ids.ReplicaId(record.key)
    if record.value is None:
        return deployment.ReplicaChange(replica_id, None)
    document = store.decode_json(record.value)
    return deployment.ReplicaChange(
        replica_id, documents.decode_replica(replica_id, document)
    )


def _is_leaving(status: int, headers: typing.Mapping[str, str]) -> bool:
    # Another replica that took over the address answers that the request was
    # misdirected.
    return (
        headers.get(names.LEAVING.lower(), '').strip() == '1'
        and status != MISDIRECTED_STATUS
    )


def _read_version(value: typing.Optional[str]) -> typing.Optional[ids.Version]:
    number = decimals.read_decimal(value or '')
    return None if number is None else ids.Version(number)


def _read_load(
    value: typing.Optional[str],
) -> typing.Optional[platform_base.ReplicaLoad]:
    """Reads running, waiting and slots, and how long work takes in percent."""
    numbers = [decimals.read_decimal(p) for p in (value or '').split(',')]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    work_factor = None
    if len(numbers) == 4 and numbers[3] > 0:
        work_factor = numbers[3] / USUAL_WORK
    return platform_base.ReplicaLoad(*numbers[:3], work_factor)
