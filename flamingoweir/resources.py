"""Amounts of processors, memory and accelerators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource of a worker or a runner.

    Attributes
    ----------
    processors_milli : int
        Thousandths of a processor.
    memory_mb : int
        Memory in megabytes.
    accelerators : int
        Whole accelerators.
    """

    processors_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors_milli + other.processors_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors_milli - other.processors_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, available: "Resources") -> bool:
        """Return whether no amount exceeds the same resource of ``available``."""
        return (
            self.processors_milli <= available.processors_milli
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def leaving(self, withheld: "Resources") -> "Resources":
        """Return what is left beside ``withheld``: of each resource at least nothing.

        Where more is withheld of a resource than there is, what needs none of it may
        still use the others. An amount that is below 0 already stays as it is.
        """
        return Resources(
            min(
                self.processors_milli,
                max(0, self.processors_milli - withheld.processors_milli),
            ),
            min(self.memory_mb, max(0, self.memory_mb - withheld.memory_mb)),
            min(self.accelerators, max(0, self.accelerators - withheld.accelerators)),
        )

    def as_text(self) -> str:
        """Return processors / 1000, megabytes and accelerators, for a line of text."""
        return f"{self.processors_milli}/{self.memory_mb}/{self.accelerators}"

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest of the fractions of ``total`` that the resources use.

        Dominant Resource Fairness, Ghodsi et al., NSDI 2011.
        """
        share = 0.0
        if total.processors_milli:
            share = max(share, self.processors_milli / total.processors_milli)
        if total.memory_mb:
            share = max(share, self.memory_mb / total.memory_mb)
        if total.accelerators:
            share = max(share, self.accelerators / total.accelerators)
        return share
