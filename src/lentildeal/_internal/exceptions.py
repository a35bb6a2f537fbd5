"""Exceptions of the package.

The message of an error says what failed, its remedy what to do about it.
"""

from __future__ import annotations

import typing


class LentildealError(Exception):
    """Base class of all errors raised by this package.

    Attributes:
        message: What failed, with the values involved.
        remedy: What the reader can do about it.
    """

    default_remedy = 'see the daemon log for preceding state changes'

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
    """An edit is based on a revision that is no longer current."""

    default_remedy = 'run "lentildeal config show", merge and publish again'


class PlatformError(LentildealError):
    """An external system violated its protocol or did not respond."""

    default_remedy = 'check that the platform service is reachable'


class LogUnavailableError(PlatformError):
    """The log service rejected a call; the call had no effect."""


class LogOverloadedError(LogUnavailableError):
    """The log service throttled a call."""


class RecordMissingError(LogUnavailableError):
    """The log responded without a record that it had confirmed."""

    default_remedy = 'none; the log has lost the record'


class LogAnswerLostError(PlatformError):
    """The response to an append was lost; it may have taken effect."""

    default_remedy = 'read the stream to find out whether the record is there'


class LogTrimmedError(PlatformError):
    """A read requested records that the log has trimmed.

    Attributes:
        oldest: Offset of the oldest record that is still available.
    """

    default_remedy = 'continue reading from the oldest record'

    def __init__(self, message: str, oldest: int) -> None:
        super().__init__(message)
        self.oldest = oldest


class UnreadableRecordError(PlatformError):
    """A record written by another system is not in its specified format."""

    default_remedy = 'correct the program that wrote the record'


class UnknownRecordTypeError(UnreadableRecordError):
    """A record is of a type that this release does not know."""

    default_remedy = 'none is needed while releases are being replaced'


class FenceRejectedError(PlatformError):
    """A target rejected an order because it has seen a newer token."""

    default_remedy = (
        'claim a new term and retry the order if still the lease holder'
    )


class PeerError(LentildealError):
    """A call to another daemon failed."""

    default_remedy = 'try another instance'


class PeerUnreachableError(PeerError):
    """No connection to the peer; no byte of the call was sent."""


class PeerTimeoutError(PeerError):
    """The peer did not respond in time; it may have executed the call."""


class RemoteError(PeerError):
    """The peer responded with an error."""


class WireError(LentildealError):
    """A frame could not be decoded."""

    default_remedy = 'check that both daemons run compatible releases'


class NotRunError(LentildealError):
    """A request failed before any byte of it was sent to a target.

    Attributes:
        cause: Name of the cause, for metrics and for the caller.
        retry_after_s: Delay before a retry is useful, in seconds.
    """

    default_remedy = 'retry the request after the time in Retry-After'

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
    """Bytes were sent to a target, but no complete response was received."""

    default_remedy = 'retry the request only if it is idempotent'


class RanAndFailedError(LentildealError):
    """The target executed the request and reported a failure.

    Attributes:
        status: HTTP status of the response.
        body: Body of the response.
    """

    default_remedy = "see the target's response in the problem details"

    def __init__(self, message: str, *, status: int, body: bytes = b''):
        super().__init__(message)
        self.status = status
        self.body = body


class ConnectionClosedError(MayHaveRunError):
    """A connection was closed before the response to a request began."""


class TargetCrashedError(ConnectionClosedError):
    """A target closed a connection and accepts no other any more.

    The request may have ended the target and may end the next one as well.
    """


class TruncatedAnswerError(MayHaveRunError):
    """A connection was closed before the end of the response."""


class InvalidAnswerError(TruncatedAnswerError):
    """The bytes that were received are not a response of the protocol."""

    default_remedy = 'check the target; it sends bytes that are no response'


class UnknownRouteError(LentildealError):
    """No handler is registered for a method and path."""

    default_remedy = 'see docs/interface.md for the paths'


class BadRequestError(LentildealError):
    """The parameters or the body of a request are not valid."""

    default_remedy = 'see docs/interface.md for the fields'


class UnauthenticatedError(LentildealError):
    """A request needs the key of an account and has no valid one."""

    default_remedy = 'send a key of an account of the published text'


class RequestTooLargeError(BadRequestError):
    """The body of a request exceeds the size limit."""

    default_remedy = 'send a smaller body'


class NotFoundError(LentildealError):
    """A request refers to a name that is not in the current text."""

    default_remedy = 'run "lentildeal config show" for the names in force'
