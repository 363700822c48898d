"""Reads and validates the INI settings file."""

import configparser
import dataclasses
import ipaddress
from typing import Annotated

import pydantic
from pydantic import AfterValidator, ConfigDict, Field

from ._model import Settings


class SettingsError(Exception):
    """The settings file is invalid; the message is one line for the user."""


def _check_host(value: str) -> str:
    ipaddress.ip_address(value)
    return value


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError("the port is out of range; use 1 to 65535")
    return value


Host = Annotated[str, AfterValidator(_check_host)]
Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Count = Annotated[int, Field(ge=1)]
Fraction = Annotated[float, Field(ge=0, le=1)]

#: Types of the fields that need another check than `DEFAULT_FIELD_TYPE`, by section
#: and key.
FIELD_TYPE_BY_KEY = {
    ("instance", "name"): Name,
    ("instance", "zone"): Name,
    ("instance", "host"): Host,
    ("instance", "http_port"): Port,
    ("instance", "peer_port"): Port,
    ("instance", "statsd"): Address | Annotated[str, Field(max_length=0)],
    ("instance", "log_level"): Annotated[
        str, Field(pattern="^(debug|info|warning|error)$")
    ],
    ("instance", "notice_s"): Annotated[float, Field(ge=0, le=3600)],
    ("platform", "address"): Address,
    ("timings", "drift"): Annotated[float, Field(ge=0, lt=0.5)],
    ("scheduling", "assign_ahead"): Annotated[int, Field(ge=0, le=1000)],
    ("scheduling", "placement"): Annotated[
        str, Field(pattern="^(dominant|best_fit|first_fit)$")
    ],
    ("scheduling", "interference"): Annotated[
        str, Field(pattern="^(ladder|evict|off)$")
    ],
    ("limits", "memory_mb"): Annotated[float, Field(gt=0)],
    ("limits", "descriptors"): Annotated[int, Field(ge=0)],
    ("requests", "retry_budget"): Fraction,
    ("requests", "hedge_after_s"): Annotated[float, Field(ge=0)],
    ("requests", "choice"): Annotated[
        str, Field(pattern="^(two_choices|random|round_robin)$")
    ],
}
DEFAULT_FIELD_TYPE = {float: Seconds, int: Count, str: str}


def _build_section(name: str, section: type) -> type[pydantic.BaseModel]:
    """Return a model that validates a section and rejects unknown keys."""
    fields = {}
    for field in dataclasses.fields(section):
        field_type = FIELD_TYPE_BY_KEY.get((name, field.name))
        fields[field.name] = (
            field_type or DEFAULT_FIELD_TYPE[field.type],
            field.default,
        )
    return pydantic.create_model(name, __config__=ConfigDict(extra="forbid"), **fields)


SECTION_BY_NAME = {
    field.name: field.default_factory for field in dataclasses.fields(Settings)
}
MODEL_BY_NAME = {
    name: _build_section(name, section) for name, section in SECTION_BY_NAME.items()
}


def load_settings(path: str) -> Settings:
    """Read a settings file.

    Parameters
    ----------
    path : str
        Path of an INI file in UTF-8.

    Returns
    -------
    Settings
        The settings, with defaults for missing keys and sections.

    Raises
    ------
    SettingsError
        If the file can't be read, or at the first error in it.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: can't read the settings file: {error}; use an INI file in UTF-8"
        ) from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str = "settings") -> Settings:
    """Read settings from text.

    Parameters
    ----------
    text : str
        Text of an INI file.
    path : str
        Name of the file in error messages.

    Returns
    -------
    Settings
        The settings, with defaults for missing keys and sections.

    Raises
    ------
    SettingsError
        At the first error in the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=path)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise SettingsError(f"{path}: not an INI file: {first_line}") from error
    sections = {}
    for name in parser.sections():
        if name not in SECTION_BY_NAME:
            valid_names = ", ".join(SECTION_BY_NAME)
            raise SettingsError(
                f"{path}: [{name}] is not a section; use one of: {valid_names}"
            )
        sections[name] = _parse_section(path, name, dict(parser[name]))
    settings = Settings(**sections)
    _check_timings(path, settings)
    return settings


def _parse_section(path: str, name: str, values: dict[str, str]) -> object:
    try:
        model = MODEL_BY_NAME[name].model_validate(values)
    except pydantic.ValidationError as error:
        raise SettingsError(_format_error(path, name, error)) from error
    return SECTION_BY_NAME[name](**model.model_dump())


def _format_error(path: str, section: str, error: pydantic.ValidationError) -> str:
    """Return an error message with the key and either valid keys or the default."""
    first = error.errors()[0]
    key = str(first["loc"][0])
    if first["type"] == "extra_forbidden":
        valid_names = ", ".join(MODEL_BY_NAME[section].model_fields)
        return f"{path}: [{section}] {key}: unknown key; use one of: {valid_names}"
    default = MODEL_BY_NAME[section].model_fields[key].default
    return (
        f"{path}: [{section}] {key} = {first['input']!r}: {first['msg']}; "
        f"the default is {default!r}"
    )


def _check_timings(path: str, settings: Settings) -> None:
    """Raise SettingsError if a lease or limit is too short for another timing."""
    timings = settings.timings
    if timings.worker_lease_s < 3 * timings.heartbeat_s:
        raise SettingsError(
            f"{path}: [timings] worker_lease_s = {timings.worker_lease_s}: "
            f"use at least three times heartbeat_s ({timings.heartbeat_s})"
        )
    if timings.shard_lease_s < 3 * timings.poll_s:
        raise SettingsError(
            f"{path}: [timings] shard_lease_s = {timings.shard_lease_s}: "
            f"use at least three times poll_s ({timings.poll_s})"
        )
    if timings.detached_limit_s < timings.shard_lease_s:
        raise SettingsError(
            f"{path}: [timings] detached_limit_s = {timings.detached_limit_s}: "
            f"use at least shard_lease_s ({timings.shard_lease_s})"
        )
