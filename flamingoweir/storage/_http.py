"""Access to the platform over HTTP; docs/STANDINS.md defines the wire format."""

from collections.abc import Sequence
from urllib.parse import quote, urlencode

import orjson

from ..faults import FaultLog
from ..resources import Resources
from ..transport import HttpClient, RequestNotSent, Response, ResponseLost
from ._instance_entries import decode_instances
from ._protocols import (
    Instance,
    InstanceKind,
    Precondition,
    PreconditionFailed,
    Row,
    TableUnavailable,
    TransactionUnknown,
    Write,
)


async def _read(client: HttpClient, path: str) -> Response:
    try:
        response = await client.call("GET", path)
    except (RequestNotSent, ResponseLost) as error:
        raise TableUnavailable(str(error)) from error
    if response.status not in (200, 404):
        raise TableUnavailable(f"the platform responded with status {response.status}")
    return response


class HttpTable:
    """The table service over HTTP; see `Table`.

    Parameters
    ----------
    client : HttpClient
        Client for the platform's address.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def transact(
        self, preconditions: Sequence[Precondition], writes: Sequence[Write]
    ) -> int:
        """See `Table.transact`."""
        body = orjson.dumps({"preconditions": preconditions, "writes": writes})
        try:
            response = await self._client.call("POST", "/table/transactions", body)
        except RequestNotSent as error:
            raise TableUnavailable(str(error)) from error
        except ResponseLost as error:
            raise TransactionUnknown(str(error)) from error
        if response.status == 200:
            return orjson.loads(response.body)["version"]
        if response.status == 409:
            raise PreconditionFailed(orjson.loads(response.body)["key"])
        if response.status == 503:
            raise TableUnavailable("the platform responded with status 503")
        raise TransactionUnknown(
            f"the platform responded with status {response.status}"
        )

    async def get(self, key: str) -> Row | None:
        """See `Table.get`."""
        response = await _read(self._client, f"/table/rows/{quote(key, safe='')}")
        if response.status == 404:
            return None
        return Row(**orjson.loads(response.body))

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """See `Table.scan`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await _read(self._client, f"/table/rows?{query}")
        return [Row(**row) for row in orjson.loads(response.body)]


class HttpObjectStore:
    """The object store over HTTP; see `ObjectStore`.

    Parameters
    ----------
    client : HttpClient
        Client for the platform's address.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def put(self, name: str, content: bytes) -> None:
        """See `ObjectStore.put`."""
        try:
            response = await self._client.call("PUT", _object_path(name), content)
        except (RequestNotSent, ResponseLost) as error:
            raise TableUnavailable(str(error)) from error
        if response.status != 200:
            raise TableUnavailable(
                f"the platform responded with status {response.status}"
            )

    async def get(self, name: str) -> bytes | None:
        """See `ObjectStore.get`."""
        response = await _read(self._client, _object_path(name))
        return None if response.status == 404 else response.body

    async def delete(self, name: str) -> None:
        """See `ObjectStore.delete`."""
        try:
            await self._client.call("DELETE", _object_path(name))
        except (RequestNotSent, ResponseLost) as error:
            raise TableUnavailable(str(error)) from error


class HttpInstanceList:
    """The list of instances over HTTP; see `InstanceList`.

    Parameters
    ----------
    client : HttpClient
        Client for the platform's address.
    fault_log : FaultLog, optional
        Records entries that can't be read.
    """

    def __init__(self, client: HttpClient, fault_log: FaultLog | None = None):
        self._client = client
        self._fault_log = fault_log or FaultLog()

    async def instances(self) -> list[Instance]:
        """See `InstanceList.instances`."""
        response = await _read(self._client, "/instances")
        try:
            return decode_instances(response.body, self._fault_log)
        except ValueError as error:
            raise TableUnavailable(f"the platform's list: {error}") from error


def _object_path(name: str) -> str:
    return f"/objects/{quote(name, safe='')}"


def parse_instance(fields: dict) -> Instance:
    """Return the instance that an entry of the JSON list describes.

    The values in ``fields`` are replaced by parsed ones.
    """
    fields["kind"] = InstanceKind(fields["kind"])
    fields["capacity"] = Resources(**fields["capacity"])
    return Instance(**fields)
