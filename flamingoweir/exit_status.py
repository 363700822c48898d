"""Exit codes shared by the daemon and the command-line tool."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit codes of ``flamingoweir`` and ``flamingoweird``."""

    #: The command succeeded.
    SUCCESS = 0
    #: An error that has no exit code of its own.
    ERROR = 1
    #: The command line is invalid.
    USAGE = 2
    #: The settings file is invalid.
    SETTINGS = 3
    #: No daemon responded at the given address.
    UNREACHABLE = 4
    #: The daemon refused the command, and nothing was changed.
    REFUSED = 5
    #: Another change of the same object was made first.
    CONFLICT = 6
    #: The named job, zone, branch or service does not exist.
    NOT_FOUND = 7
    #: The outcome of the change is unknown; repeat the command with the same id.
    UNKNOWN = 8
    #: The grace period ended before all requests in flight were complete.
    GRACE_EXPIRED = 9
    #: Interrupted from the keyboard.
    INTERRUPTED = 130
