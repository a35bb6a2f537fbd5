"""Decodes documents that operators, trainers and replicas store."""

from __future__ import annotations

import ipaddress
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.models import deployment
from lentildeal._internal.models import ids
from lentildeal._internal.platform import account_documents
from lentildeal._internal.utils import decimals
from lentildeal._internal.utils import http_fields

MS_PER_S = 1000.0
# Errors of documents whose fields are missing, of another type, too large or
# nested too deeply.
DECODE_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
    RecursionError,
)

_REPLICA_STATES = {
    'ready': deployment.ReplicaState.READY,
    'draining': deployment.ReplicaState.LEAVING,
}
# About the year 5100. Times in microseconds are above it.
MAX_UNIX_MS = 10**14


# Unknown kinds of routes are treated as the strictest kind, UNSAFE.
_ROUTE_KINDS = {kind.value: kind for kind in deployment.RouteKind}


def decode_text(document: typing.Any) -> deployment.PublishedText:
    """Decodes the published text.

    Raises:
        exceptions.UnreadableRecordError: A field is missing or wrong.
    """
    try:
        limits = document.get('Limits') or {}
        accounts = account_documents.decode_accounts(document.get('Tenants'))
        if accounts is not None:
            for number, route in enumerate(document['Routes']):
                account_documents.check_route(route, number)
        return deployment.PublishedText(
            version=decimals.require_int(document['Version']),
            routes=tuple(_decode_route(r) for r in document['Routes']),
            services={
                ids.ServiceName(_require_string(s['Name'])): _decode_service(s)
                for s in document['Services']
            },
            limits=deployment.IngressLimits(
                _read_amount(limits, 'MaxHeaderBytes', 16 * 1024),
                _read_amount(limits, 'MaxBodyBytes', 32 * 1024 * 1024),
            ),
            accounts=accounts,
        )
    except DECODE_ERRORS as error:
        raise exceptions.UnreadableRecordError(
            f'invalid published text: {error!r:.200}'
        ) from error


def decode_version(document: typing.Any) -> deployment.VersionAnnouncement:
    """Decodes the announcement of a version by a trainer.

    Raises:
        exceptions.UnreadableRecordError: A field is missing or wrong.
    """
    try:
        return deployment.VersionAnnouncement(
            ids.ModelName(_require_string(document['Model'])),
            ids.Version(decimals.require_int(document['Version'])),
        )
    except DECODE_ERRORS as error:
        raise exceptions.UnreadableRecordError(
            f'invalid version announcement: {error!r:.200}'
        ) from error


def decode_replica(
    replica_id: ids.ReplicaId, document: typing.Any
) -> deployment.Replica:
    """Decodes the directory entry of a replica.

    Also checks the fields that are not used: an entry without one of them is
    not from the replica.

    Raises:
        exceptions.UnreadableRecordError: A field is missing or wrong.
    """
    try:
        _check_unused_fields(document)
        return deployment.Replica(
            # Every request to the replica names it in a header.
            replica_id=ids.ReplicaId(http_fields.require_value(replica_id)),
            service=ids.ServiceName(_require_string(document['Service'])),
            address=_decode_address(document['Address']),
            failure_domain=ids.FailureDomain(
                _require_string(document['Zone'])
            ),
            slots=int(decimals.require_amount(document['Slots'])),
            # An unknown state raises KeyError, which rejects the entry.
            state=_REPLICA_STATES[document['State']],
            versions=decode_models(document.get('Models') or []),
            started_ms=_decode_start(document.get('born', 0)),
            is_spot=document.get('Spot') is True,
        )
    except DECODE_ERRORS as error:
        raise exceptions.UnreadableRecordError(
            f'invalid entry of replica {replica_id}: {error!r:.200}'
        ) from error


def _check_unused_fields(document: typing.Any) -> None:
    if not isinstance(document['Version'], str):
        decimals.require_int(document['Version'])
    decimals.require_amount(document['ColdRemainingMs'])
    decimals.require_int(document['Sequence'])


def _decode_start(value: typing.Any) -> int:
    """Decodes a Unix time in milliseconds."""
    started_ms = decimals.require_int(value)
    if not 0 <= started_ms < MAX_UNIX_MS:
        raise ValueError(f'{started_ms} is no time in milliseconds')
    return started_ms


def _decode_address(value: typing.Any) -> ids.ReplicaAddress:
    """Decodes an address "ip:port"; names of hosts are not looked up."""
    host, _, port = _require_string(value).rpartition(':')
    if not 0 < (decimals.read_decimal(port) or 0) < 65536:
        raise ValueError(f'invalid port in address {value!r:.50}')
    return ids.ReplicaAddress(f'{ipaddress.IPv4Address(host)}:{int(port)}')


def decode_models(
    entries: list,
) -> dict[ids.ModelName, ids.Version]:
    """Decodes the loaded version of each model of a replica."""
    return {
        ids.ModelName(_require_string(entry['Name'])): ids.Version(
            decimals.require_int(entry['Version'])
        )
        for entry in entries
    }


def _decode_route(route: dict) -> deployment.Route:
    shares = route.get('TrafficSplit') or [
        {'Service': route['Service'], 'Weight': 1}
    ]
    return deployment.Route(
        name=ids.RouteName(_require_string(route['Name'])),
        host=_require_string(route['Host']).lower(),
        path_prefix=_require_string(route['PathPrefix']),
        kind=_ROUTE_KINDS.get(route['Kind'], deployment.RouteKind.UNSAFE),
        shares=tuple(
            deployment.Share(
                ids.ServiceName(_require_string(s['Service'])),
                decimals.require_amount(s['Weight']),
            )
            for s in shares
        ),
        timeout_s=_read_amount(route, 'TimeoutMs') / MS_PER_S,
        objective_s=_read_amount(route, 'TargetLatencyMs') / MS_PER_S,
        max_attempts=int(_read_amount(route, 'MaxAttempts', 1)),
        # Deadline for all results of a job.
        deadline_s=_read_amount(route, 'DeadlineMs') / MS_PER_S,
        # Despite its name, RetentionS is the time after which an item may be
        # given up, not a time for which records are kept.
        max_item_age_s=float(_read_amount(route, 'RetentionS')),
        is_single_version=bool(route.get('SingleVersion', False)),
        is_resumable=bool(route.get('Resumable', False)),
        is_public=bool(route.get('Public', False)),
        priority=int(_read_amount(route, 'Priority')),
    )


def _decode_scaling(
    scaling: typing.Optional[dict],
) -> typing.Optional[deployment.Scaling]:
    if scaling is None:
        return None
    return deployment.Scaling(
        min_replicas=decimals.require_int(scaling['Min']),
        max_replicas=decimals.require_int(scaling['Max']),
        start_s=decimals.require_amount(scaling['BootS']),
        spot_price=_read_amount(scaling, 'SpotPrice', 1.0),
        prices={
            ids.FailureDomain(domain): decimals.require_amount(price)
            for domain, price in scaling['ZonePrices'].items()
        },
    )


def _decode_service(service: dict) -> deployment.Service:
    engine = service.get('Engine') or {}
    return deployment.Service(
        name=ids.ServiceName(service['Name']),
        models=tuple(
            ids.ModelName(_require_string(m['Name']))
            for m in engine.get('Models') or []
        ),
        slots=int(_read_amount(engine, 'Slots')),
        max_connections=int(_read_amount(service, 'MaxConnections')),
        tokens_per_event=_read_amount(engine, 'Stride') or 1,
        scaling=_decode_scaling(service.get('Scaling')),
        health_path=http_fields.require_target(
            service.get('HealthPath') or '/'
        ).removesuffix('/'),
    )


def _read_amount(
    document: dict, name: str, default: float = 0
) -> typing.Union[int, float]:
    """Returns a number, the default if it is missing or null."""
    value = document.get(name)
    return default if value is None else decimals.require_amount(value)


def _require_string(value: typing.Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f'{value!r:.50} is not a non-empty string')
    return value
