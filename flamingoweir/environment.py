"""Output streams and environment variables of a program."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Environment:
    """Output streams and environment variables of a program.

    Attributes
    ----------
    stdout : TextIO
        Stream for results.
    stderr : TextIO
        Stream for errors and logs.
    variables : Mapping of str to str
        Environment variables.
    """

    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)

    def print_error(self, program: str, message: str) -> None:
        """Write an error message to ``stderr``, as one line."""
        print(f"{program}: error: {message}", file=self.stderr)
