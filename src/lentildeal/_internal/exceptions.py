"""Exception tree. Each message says what failed; each remedy what to do."""

from __future__ import annotations

import typing


class LentildealError(Exception):
    """Root of all errors that the programs raise on purpose.

    Attributes:
        message: What failed, with the values involved.
        remedy: What the reader can do about it.
    """

    default_remedy = 'see the daemon log for the preceding change of state'

    def __init__(
        self, message: str, *, remedy: typing.Optional[str] = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy or self.default_remedy

    def __str__(self) -> str:
        return f'{self.message} ({self.remedy})'


class SettingsError(LentildealError):
    """The daemon's settings file is missing or not valid."""

    default_remedy = 'correct the settings file and start the daemon again'


class ConfigError(LentildealError):
    """A federation text is not valid."""

    default_remedy = 'run "lentildeal config check" on the file'


class ConfigConflictError(ConfigError):
    """An edit names a revision that is no longer in force."""

    default_remedy = 'run "lentildeal config show", merge and publish again'


class PlatformError(LentildealError):
    """An outside system did not answer as its protocol says."""

    default_remedy = 'check that the platform service is reachable'


class LogUnavailableError(PlatformError):
    """The log service refused a call, which therefore had no effect."""


class LogOverloadedError(LogUnavailableError):
    """The log refused a call because there were too many."""


class LogAnswerLostError(PlatformError):
    """An append may or may not have taken effect."""

    default_remedy = 'read the stream to find out whether the record is there'


class LogTrimmedError(PlatformError):
    """A read asked for records that the log has dropped.

    Attributes:
        oldest: Offset of the oldest record that is left.
    """

    default_remedy = 'read on from the oldest record'

    def __init__(self, message: str, oldest: int) -> None:
        super().__init__(message)
        self.oldest = oldest


class UnreadableRecordError(PlatformError):
    """A record that others wrote is not in its published form."""

    default_remedy = 'correct what wrote the record'


class FenceRejectedError(PlatformError):
    """A target refused an order because it has seen a newer token."""

    default_remedy = 'append a new term and order again if still the owner'


class PeerError(LentildealError):
    """A call to another daemon failed."""

    default_remedy = 'try another instance'


class PeerUnreachableError(PeerError):
    """No byte of the call left, because there is no connection."""


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have acted."""


class RemoteError(PeerError):
    """The peer answered with an error."""


class WireError(LentildealError):
    """A frame can't be decoded."""

    default_remedy = 'check that both daemons run compatible releases'


class NotRunError(LentildealError):
    """A request was refused before any byte of it left for a target.

    Attributes:
        cause: Named cause, for counters and for the caller.
        retry_after_s: When a new attempt makes sense, in seconds.
    """

    default_remedy = 'send the request again after the time in Retry-After'

    def __init__(
        self,
        message: str,
        *,
        cause: str,
        retry_after_s: float = 1.0,
        remedy: typing.Optional[str] = None,
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.cause = cause
        self.retry_after_s = retry_after_s


class MayHaveRunError(LentildealError):
    """Bytes left for a target and no whole answer came back."""

    default_remedy = 'repeat the request only if it is idempotent'


class RanAndFailedError(LentildealError):
    """The target ran the request and reported a failure.

    Attributes:
        status: HTTP status of the target.
        body: Body of the target's answer.
    """

    default_remedy = "read the target's answer in the problem details"

    def __init__(self, message: str, *, status: int, body: bytes = b''):
        super().__init__(message)
        self.status = status
        self.body = body


class ConnectionClosedError(MayHaveRunError):
    """A connection was closed before any answer to a request."""


class TruncatedAnswerError(MayHaveRunError):
    """A connection closed before the end marker of the answer."""


class UnknownRouteError(LentildealError):
    """No handler is registered for a method and path."""

    default_remedy = 'see docs/interface.md for the paths'


class BadRequestError(LentildealError):
    """A request's parameters or body are not valid."""

    default_remedy = 'see docs/interface.md for the fields'


class RequestTooLargeError(BadRequestError):
    """The body of a request is larger than allowed."""

    default_remedy = 'send a smaller body'


class NotFoundError(LentildealError):
    """A request names something that the text in force doesn't have."""

    default_remedy = 'run "lentildeal config show" for the names in force'
