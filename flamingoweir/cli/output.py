"""Output of commands as tables or as JSON."""

from collections.abc import Sequence

import orjson
import tabulate

from ..environment import Environment


class Output:
    """Prints the results of commands.

    Parameters
    ----------
    env : Environment
        Environment with the output stream.
    as_json : bool
        Whether to print JSON instead of tables.
    """

    def __init__(self, env: Environment, as_json: bool):
        self._env = env
        self.as_json = as_json

    def print_json(self, content: object) -> None:
        """Print ``content`` as indented JSON."""
        text = orjson.dumps(content, option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS)
        print(text.decode(), file=self._env.stdout)

    def print_line(self, text: str) -> None:
        """Print one line of text."""
        print(text, file=self._env.stdout, flush=True)

    def print_table(
        self,
        content: object,
        headings: Sequence[str],
        rows: Sequence[Sequence[object]],
    ) -> None:
        """Print rows as a table, or ``content`` as JSON.

        Parameters
        ----------
        content : object
            Content of the JSON output.
        headings : sequence of str
            Headings of the columns.
        rows : sequence of sequence of object
            Cells of the table.
        """
        if self.as_json:
            self.print_json(content)
            return
        self.print_line(tabulate.tabulate(rows, headings, disable_numparse=True))
