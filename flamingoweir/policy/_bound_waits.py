"""How long a task waits for the runner where a late start order may start it.

Answers a load in which a share of all start orders gets no response and is carried out
up to 12 s later, while runners fail tasks, restart and are cut off: a task that goes
elsewhere at once may run twice, and one that waits until no order can come is missed.
"""

#: Longest wait for a runner that doesn't respond, in seconds from when a long-running
#: task was last known to run. Users notice its absence after 9 s, and a runner that is
#: cut off is back after 5.5 s.
MAX_SILENT_WAIT_S = 7.5
#: Longest wait for a runner that responds but can't take the task, in seconds. Batch is
#: evicted within 2.5 s.
MAX_ROOM_WAIT_S = 3.0


def find_bound_until_s(
    until_s: float, ran_s: float, lasting: bool, responds: bool
) -> float:
    """Return until when a task without an attempt waits for a runner, in seconds.

    Parameters
    ----------
    until_s : float
        When no start order of the task can arrive there any more, in seconds.
    ran_s : float
        When the task was last known to run, in seconds.
    lasting : bool
        Whether it is a long-running one.
    responds : bool
        Whether the runner responds.
    """
    if responds:
        return min(until_s, ran_s + MAX_ROOM_WAIT_S)
    return min(until_s, ran_s + MAX_SILENT_WAIT_S) if lasting else until_s
