"""Exit statuses of the client ``lentildeal``."""

import enum


class Status(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    DIFFERENT = 1
    # The same status; each command has one meaning of it.
    NOT_PLACED = 1
    USAGE = 2
    FAULTS = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_EVERYWHERE = 7
    REFUSED = 8
    INTERNAL = 9
    INTERRUPTED = 130


# Descriptions for the generated reference page.
MEANINGS = {
    Status.OK: 'Done.',
    Status.DIFFERENT: '`config diff` found differences; `route explain`: the'
    ' request would be refused.',
    Status.USAGE: 'The command line is not valid or a file is not readable.',
    Status.FAULTS: 'The text has faults; nothing was published.',
    Status.CONFLICT: 'Another edit of the same revision was accepted.',
    Status.UNKNOWN: 'The request may or may not have had effect.',
    Status.UNREACHABLE: 'No server took the request; nothing was changed.',
    Status.NOT_EVERYWHERE: 'The text is accepted, but some members have not'
    ' confirmed it in time; or some have not answered a report.',
    Status.REFUSED: 'The server refused the request; nothing was changed.',
    Status.INTERNAL: 'The client failed in a way that it did not expect.',
    Status.INTERRUPTED: 'Stopped by the user.',
}
