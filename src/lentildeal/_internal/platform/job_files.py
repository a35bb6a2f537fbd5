"""Reads files with the submission of a job, as trainers send it."""

from __future__ import annotations

import json
import typing

from lentildeal._internal import exceptions
from lentildeal._internal.platform import documents
from lentildeal._internal.utils import decimals


class JobSummary(typing.NamedTuple):
    """What the placement of a job's items depends on."""

    model: str
    min_version: int
    item_count: int


def read_summary(text: str) -> JobSummary:
    """Reads a submission.

    Raises:
        exceptions.BadRequestError: It is not the submission of a job.
    """
    try:
        document = json.loads(text)
        return JobSummary(
            str(document['Model']),
            decimals.require_int(document['MinVersion']),
            len(document['Entries']),
        )
    except documents.DECODE_ERRORS as error:
        raise exceptions.BadRequestError(
            f'not the submission of a job: {error!r:.100}',
            remedy='give the body of the request that submits it',
        ) from error
