"""Documented options as fields of dataclasses."""

from __future__ import annotations

import dataclasses
import typing


def option(
    doc: str,
    default: typing.Any = dataclasses.MISSING,
    *,
    factory: typing.Any = dataclasses.MISSING,
    minimum: typing.Optional[float] = None,
    maximum: typing.Optional[float] = None,
) -> typing.Any:
    """Declares a dataclass field with its documentation and bounds.

    Args:
        doc: Meaning and unit, for the generated reference.
        default: Value if the key is absent; the key is required if neither
            this nor ``factory`` is given.
        factory: Creates the default of a mutable value.
        minimum: Smallest value allowed.
        maximum: Largest value allowed.

    Returns:
        A dataclass field.
    """
    metadata = {'doc': doc, 'minimum': minimum, 'maximum': maximum}
    return dataclasses.field(
        default=default, default_factory=factory, metadata=metadata
    )
