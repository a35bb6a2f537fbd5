"""Request bodies of the trainers' HTTP interface."""

from __future__ import annotations

import dataclasses
import json
import typing

from lentildeal._internal.config import jsonc
from lentildeal._internal.config import schema
from lentildeal._internal import exceptions
from lentildeal._internal.models import ids
from lentildeal._internal.models import samples
from lentildeal._internal.rollouts import entries
from lentildeal._internal.utils import options

T = typing.TypeVar('T')

REMEDY = 'see docs/trainers.md for the fields'
DEFAULT_MAX_TOKENS = 1024
# The largest trainer that the design covers has steps of 4,096 samples.
MAX_SAMPLES = 65_536


@dataclasses.dataclass(frozen=True)
class PromptBody:
    """One prompt of an attach request."""

    group: ids.GroupId = options.option('Name of the group, unique.')
    prompt: str = options.option('Prompt text.')


@dataclasses.dataclass(frozen=True)
class StepBody:
    """Body of an attach request."""

    attachment: int = options.option(
        'Number that grows with each attach of the trainer.', minimum=0
    )
    version: ids.Version = options.option(
        'Weight version that the trainer has published last.', minimum=0
    )
    prompts: list[PromptBody] = options.option('Prompts, one a group.')
    group_size: typing.Optional[int] = options.option(
        'Samples for each prompt; default from the published text.',
        None,
        minimum=1,
    )
    max_tokens: int = options.option(
        'Longest sample, in tokens.', DEFAULT_MAX_TOKENS, minimum=1
    )
    received: list[ids.SampleId] = options.option(
        'Ids of the samples of this step that the trainer holds.',
        factory=list,
    )


@dataclasses.dataclass(frozen=True)
class AckBody:
    """Body of an acknowledgement request."""

    cursor: int = options.option(
        'Cursor of the last sample that the trainer has stored.', minimum=0
    )
    attachment: typing.Optional[int] = options.option(
        'Attachment that the cursor belongs to; default the latest.',
        None,
        minimum=0,
    )


@dataclasses.dataclass(frozen=True)
class VersionBody:
    """Body of a request that announces a version."""

    version: ids.Version = options.option(
        'Weight version that is in the weight store.', minimum=0
    )


def decode(kind: type[T], body: bytes) -> T:
    """Decodes a request body and reports all faults in it.

    Raises:
        exceptions.BadRequestError: The body is not valid.
    """
    try:
        text = body.decode()
        decoder = schema.Decoder(text)
        value = decoder.decode(kind, json.loads(text))
    except (ValueError, RecursionError) as error:
        raise exceptions.BadRequestError(
            f'the body is not valid JSON: {error}', remedy=REMEDY
        ) from error
    if decoder.faults:
        raise _to_error(decoder.faults)
    return value


def parse_step_number(text: str) -> ids.StepNumber:
    """Parses the step number of a path.

    Raises:
        exceptions.BadRequestError: It is not a whole number.
    """
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise exceptions.BadRequestError(
            f'step {text!r} is not a whole number',
            remedy='number the steps from 0',
        )
    return ids.StepNumber(int(text))


def make_plan(
    name: ids.TrainerName,
    step: ids.StepNumber,
    trainer: typing.Any,
    body: StepBody,
) -> entries.StepPlan:
    """Combines a request with the trainer's published settings.

    Args:
        name: Name of the trainer.
        step: Number of the step.
        trainer: The trainer's ``schema.Trainer``.
        body: The decoded request.

    Raises:
        exceptions.BadRequestError: Groups or received ids are not valid.
    """
    plan = entries.StepPlan(
        trainer=name,
        step=step,
        prompts=tuple(
            samples.Prompt(item.group, item.prompt) for item in body.prompts
        ),
        group_size=body.group_size or trainer.group_size,
        max_tokens=body.max_tokens,
        received=frozenset(body.received),
        staleness_bound=trainer.staleness_bound,
        staleness_weight=trainer.staleness_weight,
        is_scored=trainer.scoring is not None,
    )
    _check_plan(plan)
    return plan


def _check_plan(plan: entries.StepPlan) -> None:
    groups = [prompt.group for prompt in plan.prompts]
    if not groups or '' in groups or len(set(groups)) < len(groups):
        raise exceptions.BadRequestError(
            'prompts: empty list, or empty or repeated group names',
            remedy='give each prompt a unique group name',
        )
    if len(groups) * plan.group_size > MAX_SAMPLES:
        raise exceptions.BadRequestError(
            f'the step has {len(groups) * plan.group_size} samples,'
            f' {MAX_SAMPLES} are allowed',
            remedy='request fewer groups in one step',
        )
    unknown = plan.received - plan.sample_ids()
    if unknown:
        raise exceptions.BadRequestError(
            f'received: {min(unknown)!r} and {len(unknown) - 1} others are'
            ' not samples of this step',
            remedy='send only ids "trainer/step/group/index" of this step',
        )


def _to_error(
    faults: typing.Sequence[jsonc.Fault],
) -> exceptions.BadRequestError:
    message = '; '.join(f'{f.path or "body"}: {f.problem}' for f in faults)
    remedy = '; '.join(f.remedy for f in faults)
    return exceptions.BadRequestError(message, remedy=remedy)
