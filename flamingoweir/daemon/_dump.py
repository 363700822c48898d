"""State dump of a node."""

from typing import TYPE_CHECKING

from ..entry import describe_peers
from ..scheduling import ShardOwner

if TYPE_CHECKING:
    from ._node import Node


def describe_node(node: "Node") -> dict:
    """Return a node's state as a dict that can be written as JSON.

    It covers readiness, settings, requests, runners, owned shards and peers.
    """
    return {
        "instance": node.instance.name,
        "zone": node.instance.zone,
        "process": node.process,
        "draining": node.draining,
        "ready": not node.not_ready_reason(),
        "settings": {
            "version": node.store.tree.version,
            "store_reachable": node.store.reachable,
            "may_start": node.permit.is_fresh(),
        },
        "requests": _describe_requests(node),
        "runners": [_describe_runner(runner) for runner in _sort_runners(node)],
        "shards": [
            _describe_owner(owner)
            for owner in node.shard_manager.owner_by_shard.values()
        ],
        "peers": describe_peers(node.peers, node.clock),
    }


def _sort_runners(node: "Node") -> list:
    return sorted(
        node.router.runners.runner_by_name.values(), key=lambda item: item.instance.name
    )


def _describe_requests(node: "Node") -> dict:
    return {
        "in_flight": node.router.in_flight,
        "in_flight_by_team": dict(node.router.in_flight_by_team),
        "queued_by_service": {
            name: len(queue) for name, queue in node.router.queue_by_service.items()
        },
    }


def _describe_runner(runner) -> dict:
    return {
        "runner": runner.instance.name,
        "zone": runner.instance.zone,
        "in_flight": runner.in_flight,
        "load": runner.reported_load,
        "latency_ms": round(runner.latency_s * 1000, 3),
        "ejected": runner.is_ejected(),
        "leaving": runner.is_leaving(),
    }


def _describe_owner(owner: ShardOwner) -> dict:
    return {
        "shard": owner.context.shard,
        "epoch": owner.journal.epoch,
        "lease_current": owner.journal.lease.is_current(),
        "store_reachable": owner.journal.store_reachable,
        "transactions": owner.journal.transactions,
        "jobs": len(owner.state.job_by_id),
        "quarantined": owner.placer.health.quarantined(),
        "workers": [
            _describe_session(session)
            for session in owner.sessions.session_by_worker.values()
        ],
    }


def _describe_session(session) -> dict:
    return {
        "worker": session.instance.name,
        "reachable": session.view.reachable,
        "leaving": session.instance.leaving,
        "capacity": session.capacity,
        "committed": session.ledger.committed,
        "tasks": {
            task: str(assignment.state)
            for task, assignment in session.assignment_by_task.items()
        },
    }
