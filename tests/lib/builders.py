"""Builders of settings and federation texts, as plain JSON values."""

from __future__ import annotations

import json
import typing


def make_settings(
    instance: str,
    failure_domain: str,
    http_port: int,
    peer_port: int,
    platform: dict[str, str],
    **overrides: typing.Any,
) -> str:
    """Builds the text of a daemon's settings file.

    Args:
        instance: Name.
        failure_domain: Failure domain.
        http_port: Port on the loopback address for callers.
        peer_port: Port on the loopback address for other daemons.
        platform: URLs of ``log``, ``instances`` and ``weights``.
        **overrides: Further sections, such as ``timing``.
    """
    settings = {
        'instance': instance,
        'failure_domain': failure_domain,
        'http_address': f'127.0.0.1:{http_port}',
        'peer_address': f'127.0.0.1:{peer_port}',
        'platform': {name: {'url': url} for name, url in platform.items()},
        **overrides,
    }
    return json.dumps(settings, indent=2)


def make_engine_target(
    model: str, replicas: dict[str, list[str]], **overrides: typing.Any
) -> dict:
    """Builds a target of kind ``engine``."""
    return {
        'kind': 'engine',
        'model': model,
        'replicas': replicas,
        **overrides,
    }


def make_service_target(
    replicas: dict[str, list[str]], **overrides: typing.Any
) -> dict:
    """Builds a target of kind ``service``."""
    return {'kind': 'service', 'replicas': replicas, **overrides}


def make_text(
    targets: dict[str, dict],
    services: typing.Optional[dict[str, dict]] = None,
    trainers: typing.Optional[dict[str, dict]] = None,
    clubs: typing.Optional[dict[str, dict]] = None,
) -> dict:
    """Builds a federation text; clubs missing in ``clubs`` get weight 1."""
    services, trainers = services or {}, trainers or {}
    club_members = [*services.values(), *trainers.values()]
    return {
        'format': 1,
        'federation': 'test',
        'clubs': {
            **{value['club']: {'weight': 1.0} for value in club_members},
            **(clubs or {}),
        },
        'targets': targets,
        'services': services,
        'trainers': trainers,
    }


def make_edit(
    text: str, base: int = -1, edit_id: str = 'first', author: str = 'test'
) -> dict:
    """Builds a record of the stream ``config`` that publishes a text."""
    return {
        'kind': 'edit',
        'edit_id': edit_id,
        'base': base,
        'author': author,
        'text': text,
    }
