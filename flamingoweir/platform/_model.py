"""Base of the messages on the wire."""

import pydantic
from pydantic.alias_generators import to_pascal


class WireModel(pydantic.BaseModel):
    """A message whose fields are spelled in capitals, unknown ones ignored."""

    model_config = pydantic.ConfigDict(
        alias_generator=to_pascal, extra="ignore", frozen=True, strict=True
    )
