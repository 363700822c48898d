"""Client of the operators' HTTP API of a daemon."""

from urllib.parse import quote

import httpcore
import orjson

from ..errors import ErrorCode
from ..exit_status import ExitStatus

EXIT_STATUS_BY_CODE = {
    ErrorCode.CONFLICT: ExitStatus.CONFLICT,
    ErrorCode.NOT_FOUND: ExitStatus.NOT_FOUND,
    ErrorCode.OUTCOME_UNKNOWN: ExitStatus.UNKNOWN,
    ErrorCode.INTERNAL: ExitStatus.ERROR,
}


class CommandError(Exception):
    """A command failed.

    Parameters
    ----------
    message : str
        One line that is shown to the user.
    status : ExitStatus
        Exit status of the process.
    """

    def __init__(self, message: str, status: ExitStatus):
        super().__init__(message)
        self.status = status


class DaemonClient:
    """Calls the API of one daemon.

    Parameters
    ----------
    address : str
        ``host:port`` of the daemon.
    team : str
        Team on whose behalf the operator acts.
    timeout_s : float
        Seconds until connecting, reading or writing fails.
    """

    def __init__(self, address: str, team: str, timeout_s: float):
        self._address = address
        self.team = team
        self._timeout_s = timeout_s

    def get(self, path: str) -> dict:
        """Return the JSON response to a GET request.

        Raises
        ------
        CommandError
            If the daemon can't be reached or returns an error.
        """
        return self._call("GET", path, None)

    def post(self, path: str, content: object = None) -> dict:
        """Return the JSON response to a POST request.

        Raises
        ------
        CommandError
            If the daemon can't be reached or returns an error.
        """
        return self._call("POST", path, content)

    def _call(self, method: str, path: str, content: object) -> dict:
        timeout = dict.fromkeys(("connect", "read", "write"), self._timeout_s)
        try:
            response = httpcore.request(
                method,
                f"http://{self._address}{path}",
                headers={"x-flamingoweir-team": self.team},
                content=orjson.dumps(content) if content is not None else b"",
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.ConnectTimeout) as error:
            raise CommandError(
                f"no daemon responds at {self._address} ({error}); give another "
                "--address or set FLAMINGOWEIR_ADDRESS",
                ExitStatus.UNREACHABLE,
            ) from error
        except (httpcore.TimeoutException, httpcore.ProtocolError) as error:
            raise CommandError(
                f"{self._address} returned no complete response ({error}); "
                "repeat the command with the same id",
                ExitStatus.UNKNOWN,
            ) from error
        return _read(response)


def escape(name: str) -> str:
    """Return a name with percent escapes, for use in a URL."""
    return quote(name, safe="")


def _read(response: httpcore.Response) -> dict:
    try:
        fields = orjson.loads(response.content)
    except orjson.JSONDecodeError as error:
        raise CommandError(
            f"response with status {response.status} is not JSON; check that a "
            "flamingoweird daemon listens at the address",
            ExitStatus.ERROR,
        ) from error
    if response.status < 400:
        return fields
    error = fields["error"]
    status = EXIT_STATUS_BY_CODE.get(error["code"], ExitStatus.REFUSED)
    raise CommandError(f"{error['message']} ({error['code']})", status)
