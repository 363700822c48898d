"""Schemas that validate the requests of operators."""

import uuid
from typing import Annotated, TypeVar

import pydantic

from ..errors import ErrorCode, FlamingoweirError
from ..resources import Resources
from ..scheduling import JobSpec

Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Model = TypeVar("Model", bound=pydantic.BaseModel)

#: Largest number of tasks in a job.
MAX_TASKS = 100_000


class JobRequest(pydantic.BaseModel):
    """Request to submit a job."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)

    id: Name = pydantic.Field(default_factory=lambda: f"job-{uuid.uuid4().hex[:12]}")
    zones: Annotated[list[Name], pydantic.Field(min_length=1, max_length=32)]
    tasks: Annotated[int, pydantic.Field(ge=1, le=MAX_TASKS)] = 1
    processors: Annotated[float, pydantic.Field(ge=0, le=1024)] = 1.0
    memory_mb: Annotated[int, pydantic.Field(ge=0, le=64_000_000)] = 0
    accelerators: Annotated[int, pydantic.Field(ge=0, le=1024)] = 0
    job_class: Name = "default"
    priority: Annotated[int, pydantic.Field(ge=-100, le=100)] = 0
    urgent: bool = False
    retries: Annotated[int, pydantic.Field(ge=0, le=100)] = 3
    estimate_s: Annotated[float, pydantic.Field(ge=0)] = 0.0

    def to_spec(self, team: str) -> JobSpec:
        """Return the specification of the job, owned by ``team``."""
        needs = Resources(
            round(self.processors * 1000), self.memory_mb, self.accelerators
        )
        return JobSpec(
            self.id,
            team,
            self.tasks,
            needs,
            list(dict.fromkeys(self.zones)),
            job_class=self.job_class,
            priority=self.priority,
            urgent=self.urgent,
            retries=self.retries,
            estimate_s=self.estimate_s,
        )


class ChangeRequest(pydantic.BaseModel):
    """Request to change values of the settings tree."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    id: Name = pydantic.Field(default_factory=lambda: f"change-{uuid.uuid4().hex}")
    values: Annotated[
        dict[str, str | None], pydantic.Field(min_length=1, max_length=1000)
    ]
    expected: int | None = None


def parse(model: type[Model], body: bytes) -> Model:
    """Return a body as an instance of ``model``.

    Raises
    ------
    FlamingoweirError
        If the body is invalid; the message describes the first problem.
    """
    try:
        return model.model_validate_json(body or b"{}")
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, f"{location}: {first['msg']}"
        ) from error
