"""Base class of the platform's messages."""

import pydantic
from pydantic.alias_generators import to_pascal


class WireModel(pydantic.BaseModel):
    """Base of messages whose snake_case fields have PascalCase names on the wire.

    Unknown fields are ignored and types are checked strictly. A field with an explicit
    alias has that name on the wire instead.
    """

    model_config = pydantic.ConfigDict(
        alias_generator=to_pascal, extra="ignore", frozen=True, strict=True
    )
