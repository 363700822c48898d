"""Paths of the settings tree, the teams that own them and rules for their values."""

import re
from collections.abc import Callable
from dataclasses import dataclass

import pydantic

from ..errors import ErrorCode, FlamingoweirError

#: Team that owns every branch outside ``teams/``.
OPERATORS_TEAM = "operators"

#: Pattern of one name in a path.
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"


class ServiceValue(pydantic.BaseModel):
    """JSON value with which an operator declares a service."""

    model_config = pydantic.ConfigDict(extra="forbid")

    instances_by_zone: dict[str, pydantic.NonNegativeInt] = pydantic.Field(min_length=1)
    processors: float = pydantic.Field(default=1.0, ge=0, le=1024)
    memory_mb: int = pydantic.Field(default=0, ge=0)
    accelerators: int = pydantic.Field(default=0, ge=0)
    latency_target_ms: float = pydantic.Field(default=0.0, ge=0)


@dataclass(frozen=True, slots=True)
class PathRule:
    """Rule for the values at paths of one form.

    Attributes
    ----------
    pattern : re.Pattern of str
        Matches the whole path.
    check : callable
        Raises ValueError if a value isn't allowed.
    expected : str
        Description of the allowed values, for error messages.
    """

    pattern: re.Pattern[str]
    check: Callable[[str], object]
    expected: str


def _check_state(value: str) -> None:
    if value not in ("in", "out"):
        raise ValueError(value)


def _check_positive(value: str) -> None:
    if not 0 < float(value) < float("inf"):
        raise ValueError(value)


def _check_amount(value: str) -> None:
    if not 0 <= float(value) < float("inf"):
        raise ValueError(value)


def _rule(form: str, check: Callable[[str], object], expected: str) -> PathRule:
    return PathRule(re.compile(form.replace("NAME", NAME_PATTERN)), check, expected)


PATH_RULES = (
    _rule("zones/NAME/state", _check_state, "'in' or 'out'"),
    _rule(
        "quotas/NAME/(processors|memory_mb|accelerators)",
        _check_amount,
        "a number that is not negative",
    ),
    _rule(
        "quotas/NAME/(weight|requests_in_flight)",
        _check_positive,
        "a positive number",
    ),
    _rule("teams/NAME/notice", str, "any text"),
    _rule(
        "teams/NAME/services/NAME",
        ServiceValue.model_validate_json,
        'JSON such as {"instances_by_zone": {"powys": 2}, "processors": 1}',
    ),
    _rule("fleet/urgent_reserve_percent", _check_amount, "a percentage"),
    _rule("fleet/notice", str, "any text"),
)


def branch_of(path: str) -> str:
    """Return the branch that contains a path.

    The branch is ``teams/NAME`` for a team's paths, else the first part of the path.
    """
    parts = path.split("/")
    if parts[0] == "teams" and len(parts) > 1:
        return "/".join(parts[:2])
    return parts[0]


def owning_team(branch: str) -> str:
    """Return the only team that may change a branch."""
    kind, _, team = branch.partition("/")
    return team if kind == "teams" else OPERATORS_TEAM


def check_value(path: str, value: str | None) -> None:
    """Check a path and the new value for it.

    Parameters
    ----------
    path : str
        Path of the setting.
    value : str or None
        New value; None removes the setting and is always allowed.

    Raises
    ------
    FlamingoweirError
        If no rule matches the path, or the rule doesn't allow the value.
    """
    for rule in PATH_RULES:
        if not rule.pattern.fullmatch(path):
            continue
        if value is None:
            return
        try:
            rule.check(value)
        except ValueError as error:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"{path}: invalid value {value!r}; use {rule.expected}",
            ) from error
        return
    forms = ", ".join(
        rule.pattern.pattern.replace(NAME_PATTERN, "NAME") for rule in PATH_RULES
    )
    raise FlamingoweirError(
        ErrorCode.BAD_REQUEST, f"{path}: unknown setting; valid forms are {forms}"
    )
