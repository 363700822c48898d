"""The streams and variables that a program runs with."""

import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Environment:
    """Everything a program takes from its surroundings.

    Attributes
    ----------
    stdout : TextIO
        Where results are written.
    stderr : TextIO
        Where errors and logs are written.
    variables : Mapping of str to str
        Environment variables.
    """

    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)

    def print_error(self, program: str, message: str) -> None:
        """Write one line that says what is wrong."""
        print(f"{program}: error: {message}", file=self.stderr)
