"""Base class and types of the platform's messages."""

import ipaddress
from typing import Annotated

import pydantic
from pydantic import AfterValidator, Field
from pydantic.alias_generators import to_pascal

from ..transport import split_address


def _check_address(address: str) -> str:
    """Return the address of a runner; raise ValueError if nothing can listen there."""
    host, port = split_address(address)
    ipaddress.ip_address(host)
    if not port:
        raise ValueError(f"{address!r} has port 0; use a port from 1")
    return address


#: An IP address and a port. A name would be looked up in a thread, which can't be
#: cancelled.
Address = Annotated[str, AfterValidator(_check_address)]
#: A text that a row must have; the platform omits empty fields.
Text = Annotated[str, Field(min_length=1)]
#: Largest integer that is taken from a message; the store keeps no larger ones.
MAX_INTEGER = 2**63 - 1
Count = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
Number = Annotated[float, Field(allow_inf_nan=False)]


class WireModel(pydantic.BaseModel):
    """Base of messages whose snake_case fields have PascalCase names on the wire.

    Unknown fields are ignored and types are checked strictly. A field with an explicit
    alias has that name on the wire instead.
    """

    model_config = pydantic.ConfigDict(
        alias_generator=to_pascal, extra="ignore", frozen=True, strict=True
    )
