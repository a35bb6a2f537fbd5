"""Exit statuses of the client ``lentildeal``."""

import enum


class Status(enum.IntEnum):
    """What a script can learn from the exit status.

    Attributes:
        OK: Done.
        DIFFERENT: ``config diff`` found differences.
        USAGE: The command line is not valid or a file can't be read.
        FAULTS: The text has faults; nothing was published.
        CONFLICT: Another edit of the same revision was accepted.
        UNKNOWN: The edit may or may not be accepted; ask again by its id.
        UNREACHABLE: No server answered; a publish was not sent.
        NOT_EVERYWHERE: The text is accepted, but some members have not
            confirmed it in time.
        REFUSED: The server refused the request; nothing was changed.
        INTERNAL: The client failed in a way it did not expect.
        INTERRUPTED: Stopped by the user.
    """

    OK = 0
    DIFFERENT = 1
    USAGE = 2
    FAULTS = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_EVERYWHERE = 7
    REFUSED = 8
    INTERNAL = 9
    INTERRUPTED = 130
