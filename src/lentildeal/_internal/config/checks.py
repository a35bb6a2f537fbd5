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

# Text of the design size (2,600 replicas) has about 100 KB.
MAX_TEXT_BYTES = 1024 * 1024
FORMATS = (1,)
# Names of the registered adapters by kind of target. They are listed here
# so that the client can check a text without loading the adapters.
ADAPTERS = {
    text_module.TargetKind.ENGINE: ('http',),
    text_module.TargetKind.SERVICE: ('http',),
}
# Shares are decimal fractions whose sum may miss 1 by rounding.
SHARE_TOLERANCE = 1e-9

_SECTIONS = {
    'clubs': text_module.Club,
    'targets': text_module.Target,
    'services': text_module.Service,
    'trainers': text_module.Trainer,
}

# Stands for a field that can't be decoded. It is empty for every check: no
# name, no items.
_FAULTY = ''

Names = typing.Collection[str]


@dataclasses.dataclass(frozen=True)
class _View:
    """What of a text could be decoded, for checks despite other faults.

    Attributes:
        names: All names of each section, with those of faulty values.
        clubs: Clubs with their valid fields; the other sections likewise.
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
        view = _make_view(value)
        for check in _CHECKS:
            check(view, decoder)
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


def _make_view(value: dict) -> _View:
    names, decoded = {}, {}
    for section, kind in _SECTIONS.items():
        items = value.get(section)
        items = items if isinstance(items, dict) else {}
        names[section] = items.keys()
        decoded[section] = {
            name: _decode_partly(kind, item)
            for name, item in items.items()
            if isinstance(item, dict)
        }
    return _View(names=names, **decoded)


def _decode_partly(kind: type, item: dict) -> typing.Any:
    """Decodes the fields that are valid; the others become ``_FAULTY``.

    The faults themselves are reported by the decoding of the whole text.
    """
    hints = schema.get_hints(kind)
    values = {}
    for field in dataclasses.fields(kind):
        if field.name in item:
            quiet = schema.Decoder('')
            result = quiet.decode(hints[field.name], item[field.name])
            values[field.name] = _FAULTY if quiet.has_faults else result
        elif schema.is_required(field):
            values[field.name] = _FAULTY
    return kind(**values)


def _check_reference(
    decoder: schema.Decoder,
    path: jsonc.Path,
    kind: str,
    name: str,
    known: Names,
) -> bool:
    """Reports a name that doesn't exist, with the names that do."""
    if name in known or not name or decoder.is_full:
        return name in known
    nearest = difflib.get_close_matches(name, known, 1)
    choices = f'use {_quote(known)}' if known else f'define a {kind} first'
    remedy = f'did you mean "{nearest[0]}"?' if nearest else choices
    decoder.add_fault(path, f'there is no {kind} "{name}"', remedy)
    return False


def _check_targets(view: _View, decoder: schema.Decoder) -> None:
    for name, target in view.targets.items():
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


def _check_models(view: _View, decoder: schema.Decoder) -> None:
    servers: dict[str, str] = {}
    for name, target in view.targets.items():
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


def _check_replicas(view: _View, decoder: schema.Decoder) -> None:
    seen: dict[str, str] = {}
    for name, target in view.targets.items():
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
        reason = 'port 0 can not be called'
    except ValueError as error:
        reason = str(error)
    decoder.add_fault(
        path,
        f'"{address}" is no replica address: {reason}',
        'write an IP number and a port, as in "10.0.0.5:8000"',
    )


def _check_services(view: _View, decoder: schema.Decoder) -> None:
    for name, service in view.services.items():
        path = ('services', name)
        _check_reference(
            decoder,
            path + ('club',),
            'club',
            service.club,
            view.names['clubs'],
        )
        _check_reference(
            decoder,
            path + ('target',),
            'target',
            service.target,
            view.names['targets'],
        )
        for index, needed in enumerate(service.depends_on):
            _check_reference(
                decoder,
                path + ('depends_on', index),
                'service',
                needed,
                view.names['services'],
            )


def _check_cycles(view: _View, decoder: schema.Decoder) -> None:
    done: set[str] = set()
    for start in view.services:
        cycle = _find_cycle(view, start, done)
        if cycle:
            decoder.add_fault(
                ('services', cycle[0], 'depends_on'),
                'services depend on each other: '
                + ' -> '.join(f'"{name}"' for name in cycle + cycle[:1]),
                'remove one of these dependencies',
            )


def _find_cycle(view: _View, start: str, done: set[str]) -> list[str]:
    """Walks dependencies depth first without recursion.

    Returns the names of the first cycle found, or an empty list. Names that
    were walked are added to ``done``, so that each cycle is found once.
    """
    trail: dict[str, None] = {}
    stack = [(start, iter((start,)))]
    while stack:
        name, needed = stack[-1]
        following = next(needed, None)
        if following is None:
            stack.pop()
            if trail:
                done.add(trail.popitem()[0])
            continue
        if following in trail:
            done.update(trail)
            names = list(trail)
            return names[names.index(following) :]
        if following in done or following not in view.services:
            continue
        trail[following] = None
        needs = iter(view.services[following].depends_on)
        stack.append((following, needs))
    return []


def _check_trainers(view: _View, decoder: schema.Decoder) -> None:
    # A target that can't be decoded may serve any model.
    is_complete = len(view.targets) == len(view.names['targets']) and all(
        target.model != _FAULTY for target in view.targets.values()
    )
    for name, trainer in view.trainers.items():
        path = ('trainers', name)
        _check_reference(
            decoder,
            path + ('club',),
            'club',
            trainer.club,
            view.names['clubs'],
        )
        if is_complete:
            _check_trainer_model(view, decoder, path, trainer.model)
        if trainer.scoring:
            _check_scoring(view, decoder, path, trainer.scoring)


def _check_trainer_model(
    view: _View, decoder: schema.Decoder, path: jsonc.Path, model: str
) -> None:
    place = path + ('model',)
    service = text_module.TargetKind.SERVICE
    models, wrong = {}, {}
    for name, target in view.targets.items():
        if target.model:
            served = wrong if target.kind is service else models
            served[target.model] = name
    if model in models:
        return
    if model in wrong:
        problem = (
            f'model "{model}" is served by target "{wrong[model]}" of kind'
            ' "service"'
        )
        decoder.add_fault(place, problem, 'give the target kind "engine"')
        return
    if model in view.targets:
        remedy = f'use {_quote(models)}' if models else 'define one'
        decoder.add_fault(place, f'"{model}" is a target, not a model', remedy)
        return
    _check_reference(decoder, place, 'model', model, models)


def _check_scoring(view, decoder, path, scoring: str) -> None:
    place = path + ('scoring',)
    if not _check_reference(
        decoder, place, 'service', scoring, view.names['services']
    ):
        return
    service = view.services.get(scoring)
    target = view.targets.get(service.target) if service else None
    if target and target.kind is text_module.TargetKind.ENGINE:
        decoder.add_fault(
            place,
            f'service "{scoring}" is answered by engines and can not score',
            'name a service whose target is of kind "service"',
        )


def _check_shares(view: _View, decoder: schema.Decoder) -> None:
    by_club = collections.defaultdict(list)
    for name, trainer in view.trainers.items():
        if trainer.club and trainer.share_of_club:
            by_club[trainer.club].append(name)
    for club, trainers in by_club.items():
        total = sum(view.trainers[name].share_of_club for name in trainers)
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
