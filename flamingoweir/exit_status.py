"""Exit codes shared by the daemon and the command-line tool."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes of ``flamingoweir`` and ``flamingoweird``."""

    #: The command did what it was asked to do.
    SUCCESS = 0
    #: An error without a code of its own.
    ERROR = 1
    #: The command line could not be understood.
    USAGE = 2
    #: The settings file is wrong.
    SETTINGS = 3
    #: No daemon answered at the given address.
    UNREACHABLE = 4
    #: The daemon refused, and nothing was changed.
    REFUSED = 5
    #: Someone else changed the same thing first.
    CONFLICT = 6
    #: The named job, zone, branch or service does not exist.
    NOT_FOUND = 7
    #: Whether the change took effect is not known; ask again with the same id.
    UNKNOWN = 8
    #: The grace period ended before all requests in flight were finished.
    GRACE_EXPIRED = 9
    #: Interrupted from the keyboard.
    INTERRUPTED = 130
