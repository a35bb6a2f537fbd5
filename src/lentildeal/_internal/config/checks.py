"""Checks of a federation text beyond the types of its values."""

from __future__ import annotations

import collections
import dataclasses
import difflib
import typing

from lentildeal._internal.config import jsonc
from lentildeal._internal.config import schema
from lentildeal._internal.models import ids
from lentildeal._internal.models import text as text_module
from lentildeal._internal.settings import settings

# A text of the design size (2,600 replicas) has about 100 KB.
MAX_TEXT_BYTES = 1024 * 1024
FORMATS = (1,)
# Names of the registered adapters by kind of target. They are repeated here
# so that the client can check a text without importing the adapters.
ADAPTERS = {
    text_module.TargetKind.ENGINE: ('http',),
    text_module.TargetKind.SERVICE: ('http',),
}
# The sum of decimal fractions may differ from 1 by a rounding error.
SHARE_TOLERANCE = 1e-9

_SECTIONS = {
    'clubs': text_module.Club,
    'targets': text_module.Target,
    'services': text_module.Service,
    'trainers': text_module.Trainer,
}

# Replaces a field that can't be decoded. An empty string works as an empty
# name and as an empty collection, so no check reports the field again.
_INVALID_FIELD = ''

Names = typing.Collection[str]


@dataclasses.dataclass(frozen=True)
class _DecodedText:
    """The valid parts of a text, so that checks run despite other faults.

    Attributes:
        names: All names of each section, including those of invalid values.
        clubs: Clubs by name. Invalid fields are replaced by
            ``_INVALID_FIELD``; the other sections likewise.
        targets: Targets by name.
        services: Services by name.
        trainers: Trainers by name.
    """

    names: dict[str, Names]
    clubs: dict[ids.ClubName, text_module.Club]
    targets: dict[ids.TargetName, text_module.Target]
    services: dict[ids.ServiceName, text_module.Service]
    trainers: dict[ids.TrainerName, text_module.Trainer]


def check_text(raw: str) -> text_module.FederationText:
    """Parses, decodes and checks a text.

    Raises:
        jsonc.TextFaultsError: The text has faults; all are listed.
    """
    _check_size(raw)
    value = jsonc.parse(raw)
    decoder = schema.Decoder(raw)
    text = decoder.decode(text_module.FederationText, value)
    if isinstance(value, dict):
        _check_format(value, decoder)
        decoded = _decode_sections(value)
        for check in _CHECKS:
            check(decoded, decoder)
    if decoder.faults:
        raise jsonc.TextFaultsError(decoder.faults)
    return text


def _check_size(raw: str) -> None:
    size = len(raw.encode('utf-8', 'replace'))
    if size > MAX_TEXT_BYTES:
        fault = jsonc.Fault(
            '',
            0,
            f'the text has {size} bytes, {MAX_TEXT_BYTES} are allowed',
            'shorten it',
        )
        raise jsonc.TextFaultsError([fault])


def _check_format(value: dict, decoder: schema.Decoder) -> None:
    number = value.get('format')
    is_number = isinstance(number, int) and not isinstance(number, bool)
    if is_number and number >= 1 and number not in FORMATS:
        decoder.add_fault(
            ('format',),
            f'format {number} is not known to this release',
            f'use {_quote(str(known) for known in FORMATS)}',
        )


def _decode_sections(value: dict) -> _DecodedText:
    names, sections = {}, {}
    for section, kind in _SECTIONS.items():
        items = value.get(section)
        items = items if isinstance(items, dict) else {}
        names[section] = items.keys()
        sections[section] = {
            name: _decode_valid_fields(kind, item)
            for name, item in items.items()
            if isinstance(item, dict)
        }
    return _DecodedText(names=names, **sections)


def _decode_valid_fields(kind: type, item: dict) -> typing.Any:
    """Decodes the valid fields; the others become ``_INVALID_FIELD``.

    Faults are dropped here, since decoding the complete text reports them.
    """
    hints = schema.get_hints(kind)
    values = {}
    for field in dataclasses.fields(kind):
        if field.name in item:
            field_decoder = schema.Decoder('')
            result = field_decoder.decode(hints[field.name], item[field.name])
            values[field.name] = (
                _INVALID_FIELD if field_decoder.has_faults else result
            )
        elif schema.is_required(field):
            values[field.name] = _INVALID_FIELD
    return kind(**values)


def _check_reference(
    decoder: schema.Decoder,
    path: jsonc.Path,
    kind: str,
    name: str,
    known: Names,
) -> bool:
    """Returns whether a name exists; adds a fault if it doesn't."""
    if name in known or not name or decoder.is_full:
        return name in known
    nearest = difflib.get_close_matches(name, known, 1)
    choices = f'use {_quote(known)}' if known else f'define a {kind} first'
    remedy = f'did you mean "{nearest[0]}"?' if nearest else choices
    decoder.add_fault(path, f'there is no {kind} "{name}"', remedy)
    return False


def _check_targets(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    for name, target in decoded.targets.items():
        if not target.kind:
            continue
        path = ('targets', name)
        is_engine = target.kind is text_module.TargetKind.ENGINE
        if is_engine and target.model is None:
            decoder.add_fault(
                path + ('model',),
                'an engine target needs a model',
                'add "model" with the name of the model that it serves',
            )
        if not is_engine and target.model:
            decoder.add_fault(
                path + ('model',),
                'a service target has no model',
                'remove "model" or use kind "engine"',
            )
        adapters = ADAPTERS[target.kind]
        if target.adapter and target.adapter not in adapters:
            decoder.add_fault(
                path + ('adapter',),
                f'there is no adapter "{target.adapter}"'
                f' for kind "{target.kind.value}"',
                f'use {_quote(adapters)}',
            )


def _check_models(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    servers: dict[str, str] = {}
    for name, target in decoded.targets.items():
        if not target.model:
            continue
        first = servers.setdefault(target.model, name)
        if first != name:
            decoder.add_fault(
                ('targets', name, 'model'),
                f'model "{target.model}" is already served by target'
                f' "{first}"',
                'serve a model by one target and list all replicas there',
            )


def _check_replicas(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    seen: dict[str, str] = {}
    for name, target in decoded.targets.items():
        for domain, addresses in (target.replicas or {}).items():
            for index, address in enumerate(addresses):
                path = ('targets', name, 'replicas', domain, index)
                _check_address(decoder, path, address)
                place = jsonc.format_path(path)
                first = seen.setdefault(address, place)
                if first != place:
                    decoder.add_fault(
                        path,
                        f'replica "{address}" is already listed at {first}',
                        'list each replica once',
                    )


def _check_address(decoder, path: jsonc.Path, address: str) -> None:
    try:
        _, port = settings.split_address(address)
        if port:
            return
        reason = 'port 0 is not allowed'
    except ValueError as error:
        reason = str(error)
    decoder.add_fault(
        path,
        f'"{address}" is no replica address: {reason}',
        'write an IP number and a port, as in "10.0.0.5:8000"',
    )


def _check_services(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    for name, service in decoded.services.items():
        path = ('services', name)
        _check_reference(
            decoder,
            path + ('club',),
            'club',
            service.club,
            decoded.names['clubs'],
        )
        _check_reference(
            decoder,
            path + ('target',),
            'target',
            service.target,
            decoded.names['targets'],
        )
        for index, dependency in enumerate(service.depends_on):
            _check_reference(
                decoder,
                path + ('depends_on', index),
                'service',
                dependency,
                decoded.names['services'],
            )


def _check_cycles(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    visited: set[str] = set()
    for start in decoded.services:
        cycle = _find_cycle(decoded, start, visited)
        if cycle:
            decoder.add_fault(
                ('services', cycle[0], 'depends_on'),
                'services depend on each other: '
                + ' -> '.join(f'"{name}"' for name in cycle + cycle[:1]),
                'remove one of these dependencies',
            )


def _find_cycle(
    decoded: _DecodedText, start: str, visited: set[str]
) -> list[str]:
    """Searches the dependencies of a service for a cycle.

    The depth-first search is iterative, because a long chain of dependencies
    would exceed the interpreter's recursion limit.

    Args:
        decoded: Text to search.
        start: Service at which the search starts.
        visited: Services that were searched already. The search skips them
            and adds its own, so that each cycle is found once.

    Returns:
        The services of the first cycle found, or an empty list.
    """
    current_path: dict[str, None] = {}
    stack = [(start, iter((start,)))]
    while stack:
        name, remaining = stack[-1]
        dependency = next(remaining, None)
        if dependency is None:
            stack.pop()
            if current_path:
                visited.add(current_path.popitem()[0])
            continue
        if dependency in current_path:
            visited.update(current_path)
            names = list(current_path)
            return names[names.index(dependency) :]
        if dependency in visited or dependency not in decoded.services:
            continue
        current_path[dependency] = None
        dependencies = iter(decoded.services[dependency].depends_on)
        stack.append((dependency, dependencies))
    return []


def _check_trainers(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    # A target that can't be decoded may serve any model.
    is_complete = len(decoded.targets) == len(
        decoded.names['targets']
    ) and all(
        target.model != _INVALID_FIELD for target in decoded.targets.values()
    )
    for name, trainer in decoded.trainers.items():
        path = ('trainers', name)
        _check_reference(
            decoder,
            path + ('club',),
            'club',
            trainer.club,
            decoded.names['clubs'],
        )
        if is_complete:
            _check_trainer_model(decoded, decoder, path, trainer.model)
        if trainer.scoring:
            _check_scoring(decoded, decoder, path, trainer.scoring)


def _check_trainer_model(
    decoded: _DecodedText,
    decoder: schema.Decoder,
    path: jsonc.Path,
    model: str,
) -> None:
    place = path + ('model',)
    service = text_module.TargetKind.SERVICE
    engine_models, service_models = {}, {}
    for name, target in decoded.targets.items():
        if target.model:
            served = (
                service_models if target.kind is service else engine_models
            )
            served[target.model] = name
    if model in engine_models:
        return
    if model in service_models:
        problem = (
            f'model "{model}" is served by target "{service_models[model]}"'
            ' of kind "service"'
        )
        decoder.add_fault(place, problem, 'give the target kind "engine"')
        return
    if model in decoded.targets:
        remedy = (
            f'use {_quote(engine_models)}' if engine_models else 'define one'
        )
        decoder.add_fault(place, f'"{model}" is a target, not a model', remedy)
        return
    _check_reference(decoder, place, 'model', model, engine_models)


def _check_scoring(decoded, decoder, path, scoring: str) -> None:
    place = path + ('scoring',)
    if not _check_reference(
        decoder, place, 'service', scoring, decoded.names['services']
    ):
        return
    service = decoded.services.get(scoring)
    target = decoded.targets.get(service.target) if service else None
    if target and target.kind is text_module.TargetKind.ENGINE:
        decoder.add_fault(
            place,
            f'service "{scoring}" is answered by engines and can not score',
            'name a service whose target is of kind "service"',
        )


def _check_shares(decoded: _DecodedText, decoder: schema.Decoder) -> None:
    by_club = collections.defaultdict(list)
    for name, trainer in decoded.trainers.items():
        if trainer.club and trainer.share_of_club:
            by_club[trainer.club].append(name)
    for club, trainers in by_club.items():
        total = sum(decoded.trainers[name].share_of_club for name in trainers)
        if total > 1 + SHARE_TOLERANCE:
            decoder.add_fault(
                ('trainers', trainers[-1], 'share_of_club'),
                f'the trainers of club "{club}" have {total:.6g} of its'
                f' budget: {_quote(trainers)}',
                'lower share_of_club so that they sum to 1 at most',
            )


def _quote(names: typing.Iterable[str]) -> str:
    return ', '.join(f'"{name}"' for name in names)


_CHECKS = (
    _check_targets,
    _check_models,
    _check_replicas,
    _check_services,
    _check_cycles,
    _check_trainers,
    _check_shares,
)
