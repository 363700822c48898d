"""Runners in the platform's list, and which of them may receive a request."""

from collections.abc import Callable

from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError
from ..membership import Directory
from ..settings import RequestSettings
from ..storage import Instance, InstanceKind
from ._runner import Runner
from ._runner_http import RunnerLink


class RunnerTable:
    """Runners by name, updated from the platform's list.

    Parameters
    ----------
    zone : str
        Zone of this instance; runners in it are preferred.
    directory : Directory
        The platform's list of instances.
    connect : callable
        Returns the client of a runner, given its entry in the list.
    instances : callable
        Returns the number of entry instances that share the runners.
    settings : RequestSettings
        Limits and timeouts of requests.
    clock : Clock
        Monotonic clock of this instance.

    Attributes
    ----------
    runner_by_name : dict of str to Runner
        All listed runners.
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
        self._count_instances = instances
        self._settings = settings
        self._clock = clock
        self._by_service: dict[str, list[Runner]] = {}
        self._directory_revision = -1

    def of_service(self, service: str) -> list[Runner]:
        """Return all listed runners of a service."""
        self._update_from_directory()
        return self._by_service.get(service, [])

    def find_candidates(self, service: str, avoid: set[str]) -> list[Runner]:
        """Return runners that may receive a request, with or without free slots.

        Healthy runners outside ``avoid`` come first; then all healthy runners; then
        ejected runners too. Leaving runners are never returned.

        Parameters
        ----------
        service : str
            Name of the service.
        avoid : set of str
            Names of runners to use only if there is no other healthy runner.

        Raises
        ------
        FlamingoweirError
            If the service has no listed runner, or only leaving ones.
        """
        staying = [
            runner for runner in self.of_service(service) if not runner.is_leaving()
        ]
        if not staying:
            listed = bool(self.of_service(service))
            raise FlamingoweirError(
                ErrorCode.NO_RUNNER if listed else ErrorCode.UNKNOWN_SERVICE,
                f"service {service!r} has no runner"
                + (
                    " that accepts new requests; try again later"
                    if listed
                    else "; check its name"
                ),
                retry_after_s=1.0,
            )
        healthy = [runner for runner in staying if not runner.is_ejected()]
        preferred = [runner for runner in healthy if runner.instance.name not in avoid]
        return preferred or healthy or staying

    def filter_free(self, runners: list[Runner]) -> list[Runner]:
        """Return runners with a free slot: in this zone if any, else in all zones."""
        instances = max(1, self._count_instances())
        free = [runner for runner in runners if runner.has_capacity(instances)]
        in_zone = [runner for runner in free if runner.instance.zone == self._zone]
        return in_zone or free

    def find_free(self, service: str) -> list[Runner]:
        """Return healthy runners of a service with a free slot."""
        healthy = [
            runner
            for runner in self.of_service(service)
            if not runner.is_leaving() and not runner.is_ejected()
        ]
        return self.filter_free(healthy)

    async def aclose(self) -> None:
        """Close all idle connections."""
        for runner in self.runner_by_name.values():
            await runner.link.aclose()

    def _update_from_directory(self) -> None:
        if self._directory_revision == self._directory.revision:
            return
        self._directory_revision = self._directory.revision
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
