"""Which connections of a listener are closed when it has too many, or too slow ones."""

import pytest

from flamingoweir.policy import (
    ConnectionBudget,
    ConnectionLimits,
    Phase,
    share_machine,
)

LIMITS = ConnectionLimits(connections=4, held_bytes=1_000)


def make_budget(*phases: Phase) -> ConnectionBudget:
    """Return a budget of connections 0, 1 and so on, each opened a second later."""
    budget = ConnectionBudget(LIMITS)
    for number, phase in enumerate(phases):
        budget.add(number, float(number))
        budget.move(number, phase, float(number))
    return budget


@pytest.mark.parametrize(
    ("phases", "chosen"),
    [
        ([Phase.HEAD, Phase.BODY, Phase.RESPONSE, Phase.IDLE], 3),
        ([Phase.HEAD, Phase.BODY, Phase.RESPONSE, Phase.APPLICATION], 2),
        ([Phase.APPLICATION, Phase.BODY, Phase.HEAD, Phase.HEAD], 2),
        ([Phase.APPLICATION, Phase.APPLICATION, Phase.BODY, Phase.BODY], 2),
        ([Phase.IDLE, Phase.IDLE, Phase.IDLE, Phase.IDLE], 0),
        ([Phase.APPLICATION] * 4, None),
    ],
)
def test_room_is_made_by_what_waits_longest_for_its_client(phases, chosen):
    """Idle connections go first, and requests of the application never."""
    assert make_budget(*phases).choose_to_make_room() == chosen


def test_ordinary_callers_get_in_beside_a_crowd_that_never_ends_a_head():
    """Connections arrive each 10 ms; every tenth is ordinary and is served in 20 ms."""
    limits = ConnectionLimits(connections=50)
    budget = ConnectionBudget(limits)
    closed = set()
    served = []
    for number in range(2_000):
        now_s = number * 0.01
        if len(budget) >= limits.connections:
            chosen = budget.choose_to_make_room()
            budget.remove(chosen)
            closed.add(chosen)
        budget.add(number, now_s)
        budget.move(number, Phase.HEAD, now_s)
        earlier = number - 2
        if earlier >= 0 and earlier % 10 == 0:
            served.append(earlier)
            assert earlier in budget
            budget.remove(earlier)
    assert len(served) == 200
    assert closed.isdisjoint(served)


def test_slow_holders_are_closed_before_a_large_request_that_has_just_begun():
    budget = make_budget(Phase.BODY, Phase.HEAD, Phase.APPLICATION, Phase.BODY)
    for number in range(3):
        budget.hold(number, 300)
    assert budget.choose_to_free_bytes() is None
    budget.hold(3, 500)
    closed = []
    while (chosen := budget.choose_to_free_bytes()) is not None:
        closed.append(chosen)
        budget.remove(chosen)
    assert closed == [0, 1]
    assert budget.held_bytes == 800


def test_requests_of_the_application_are_not_closed_for_their_bytes():
    budget = make_budget(Phase.APPLICATION, Phase.IDLE)
    budget.hold(0, 2_000)
    assert budget.choose_to_free_bytes() is None


def test_others_keep_their_part_beside_a_full_application():
    budget = make_budget(Phase.APPLICATION, Phase.BODY, Phase.HEAD)
    budget.hold(0, 700)
    assert budget.admits(1, 50) and not budget.admits(1, 51)
    assert budget.admits(0, 750), "its earlier request counts beside the next one"
    budget.hold(0, 2_000)
    budget.hold(1, 250)
    assert budget.choose_to_free_bytes() is None
    budget.hold(2, 1)
    assert budget.choose_to_free_bytes() == 1
    budget.move(1, Phase.APPLICATION, 3.0)
    assert budget.application_bytes == 2_250
    budget.remove(0)
    budget.move(1, Phase.IDLE, 4.0)
    assert budget.application_bytes == 0 and budget.held_bytes == 251


def test_progress_renews_the_time_of_a_body_and_ends_that_of_a_response():
    budget = make_budget(Phase.BODY, Phase.BODY, Phase.RESPONSE)
    budget.renew(0, 25.0)
    assert budget.list_overdue(2.0 + LIMITS.response_s + 0.1) == [1, 2]
    budget.move(2, Phase.IDLE, 30.0)
    assert budget.list_overdue(40.0) == [1]


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 552])
def test_listeners_fit_the_machine_together(memory_mb):
    """Each listener has its own part, so that checks are served beside a crowd."""
    shares = share_machine(memory_mb, 4_100, {"front": 0.9, "ready": 0.1})
    assert sum(connections for connections, _ in shares.values()) <= (4_100 - 200) / 2
    assert sum(held for _, held in shares.values()) <= memory_mb * 1e6 / 10
    assert min(connections for connections, _ in shares.values()) >= 16
