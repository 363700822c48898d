"""Names of shards and keys of the table's rows."""

from ..hashing import stable_hash
from ..storage import Instance


def shard_name(zone: str, number: int) -> str:
    """Return the name of a zone's shard."""
    return f"{zone}/{number}"


def zone_of(shard: str) -> str:
    """Return the zone that a shard belongs to."""
    return shard.rpartition("/")[0]


def shards_of_zone(zone: str, shards_per_zone: int) -> list[str]:
    """Return all shards of a zone."""
    return [shard_name(zone, number) for number in range(shards_per_zone)]


def shard_of(zone: str, name: str, shards_per_zone: int) -> str:
    """Return the shard of a zone that a job or a worker is assigned to by hash."""
    number = stable_hash(name) % shards_per_zone
    return shard_name(zone, number)


def shard_of_worker(worker: Instance, shards_per_zone: int) -> str:
    """Return the shard that a worker belongs to."""
    return shard_of(worker.zone, worker.name, shards_per_zone)


def job_key(job: str) -> str:
    """Return the key of the row that holds a job as submitted."""
    return f"job/{job}"


def cancel_key(job: str) -> str:
    """Return the key of the row that marks a job as cancelled."""
    return f"cancel/{job}"


def inbox_prefix(shard: str) -> str:
    """Return the prefix of the keys of a shard's inbox."""
    return f"inbox/{shard}/"


def inbox_key(shard: str, name: str) -> str:
    """Return the key of a row in a shard's inbox."""
    return inbox_prefix(shard) + name


def outcome_prefix(job: str) -> str:
    """Return the prefix of the keys of a job's outcomes."""
    return f"outcome/{job}/"


def outcome_key(job: str, shard: str, number: str) -> str:
    """Return the key of an outcome of a job's tasks in one shard."""
    return f"{outcome_prefix(job)}{shard}/{number}"
