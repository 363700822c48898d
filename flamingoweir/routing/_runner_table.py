"""The runners that this instance knows, and which of them may get a request."""

from collections.abc import Callable

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..membership import Directory
from ..settings import RequestSettings
from ..storage import Instance, InstanceKind
from ._runner import Runner
from ._runner_http import RunnerLink


class RunnerTable:
    """Runners by name, following the platform's list.

    Parameters
    ----------
    zone : str
        This instance's zone, whose runners are preferred.
    directory : Directory
        The platform's list.
    connect : callable
        Makes the way to a runner.
    instances : callable
        How many entry instances share the runners.
    settings : Requests
        Limits.
    clock : Clock
        This instance's clock.
    """

    def __init__(
        self,
        zone: str,
        directory: Directory,
        connect: Callable[[Instance], RunnerLink],
        instances: Callable[[], int],
        settings: RequestSettings,
        clock: Clock,
    ):
        self.runner_by_name: dict[str, Runner] = {}
        self._zone = zone
        self._directory = directory
        self._connect = connect
        self._instances = instances
        self._settings = settings
        self._clock = clock
        self._by_service: dict[str, list[Runner]] = {}
        self._revision = -1

    def of_service(self, service: str) -> list[Runner]:
        """Return all known runners of a service."""
        self._follow_directory()
        return self._by_service.get(service, [])

    def usable(self, service: str, avoid: set[str]) -> list[Runner]:
        """Return runners that may get a request; raises FlamingoweirError."""
        known = [
            runner for runner in self.of_service(service) if not runner.is_leaving()
        ]
        if not known:
            listed = bool(self.of_service(service))
            raise FlamingoweirError(
                ErrorCode.NO_RUNNER if listed else ErrorCode.UNKNOWN_SERVICE,
                f"service {service!r} has no runner"
                + (" that stays" if listed else "; check its name"),
                retry_after_s=1.0,
            )
        healthy = [runner for runner in known if not runner.is_ejected()]
        fresh = [runner for runner in healthy if runner.instance.name not in avoid]
        return fresh or healthy or known

    def with_room(self, runners: list[Runner]) -> list[Runner]:
        """Return runners with room: those of this zone, or else of any."""
        instances = max(1, self._instances())
        free = [runner for runner in runners if runner.has_room(instances)]
        near = [runner for runner in free if runner.instance.zone == self._zone]
        return near or free

    def free(self, service: str) -> list[Runner]:
        """Return healthy runners of a service that have room."""
        healthy = [
            runner
            for runner in self.of_service(service)
            if not runner.is_leaving() and not runner.is_ejected()
        ]
        return self.with_room(healthy)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for runner in self.runner_by_name.values():
            await runner.link.aclose()

    def _follow_directory(self) -> None:
        if self._revision == self._directory.revision:
            return
        self._revision = self._directory.revision
        by_name = {}
        by_service: dict[str, list[Runner]] = {}
        for instance in self._directory.of_kind(InstanceKind.RUNNER):
            runner = self.runner_by_name.get(instance.name)
            if runner is None or runner.instance.address != instance.address:
                runner = Runner(
                    instance, self._connect(instance), self._clock, self._settings
                )
            runner.instance = instance
            by_name[instance.name] = runner
            by_service.setdefault(instance.service, []).append(runner)
        self.runner_by_name = by_name
        self._by_service = by_service
