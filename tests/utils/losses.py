"""Ways to lose an owner or a runner, and what to check of a long-running task."""

import anyio

from flamingoweir.jobs import JobState
from tests.utils.cluster import Cluster, Member, make_job, make_step

#: Seconds for which a frozen owner stands still.
FREEZE_S = 3.0


async def start_lasting(cluster: Cluster):
    """Start a long-running task; return its job and its runner."""
    await cluster.owner()
    await anyio.sleep(1)
    job = await cluster.submit(make_job(1, make_step(1, lasting=True)))
    await cluster.wait_for(job, JobState.RUNNING, 2.0)
    (runner_id,) = cluster.starts(f"{job.id}.0.0.0")
    return job, cluster.runner_by_id[runner_id]


def last_start_s(cluster: Cluster, job) -> float:
    return [r.at_s for r in cluster.records("start") if r.task.job == job.id][-1]


def check_runs(cluster: Cluster) -> None:
    for runner in cluster.runner_by_id.values():
        # Records the ends of runs whose lease has lapsed without a call.
        runner.advance()
    assert not cluster.find_overlaps()


def lose_runner(cluster: Cluster, runner, listed: bool) -> None:
    """Let a runner crash for good; its entry stays, or is removed at once."""
    runner.crash()
    if not listed:
        cluster.unlist_runner(runner.id)


async def kill(cluster: Cluster, owner: Member) -> None:
    cluster.kill_member(owner)


async def freeze(cluster: Cluster, owner: Member) -> None:
    owner.process.paused = True
    await anyio.sleep(FREEZE_S)
    owner.process.resume()


async def stop_in_order(cluster: Cluster, owner: Member) -> None:
    """Let an instance release the shard and end, as after SIGTERM."""
    del cluster.member_by_name[owner.name]
    await owner.instance.leave()
    owner.kill()


async def cut_from_store(cluster: Cluster, owner: Member) -> None:
    """Cut an instance from the store, but not from the runners."""
    owner.store.silent = True
    del cluster.member_by_name[owner.name]


def isolate(cluster: Cluster, member: Member, runner) -> None:
    """Cut an owner off from all but one runner, which nobody else reaches."""
    member.store.silent = True
    del cluster.member_by_name[member.name]
    for runner_id, link in member.link_by_runner.items():
        link.disconnected = runner_id != runner.id
    cluster.unlist_runner(runner.id)


def isolate_listed(cluster: Cluster, member: Member, runner) -> None:
    """Let only one instance reach a runner, which stays listed."""
    cluster.sole_member_by_runner[runner.id] = member.name
    for other in cluster.member_by_name.values():
        if other is not member and runner.id in other.link_by_runner:
            other.link_by_runner[runner.id].disconnected = True


def cut_runner(cluster: Cluster, runner) -> None:
    """Cut a runner from everybody; it stays listed."""
    cluster.sole_member_by_runner[runner.id] = "nobody"
    for member in cluster.member_by_name.values():
        if runner.id in member.link_by_runner:
            member.link_by_runner[runner.id].disconnected = True


def cut_after_next_owner(cluster: Cluster, runner) -> None:
    """Cut a runner from everybody once it has responded to its next owner."""
    first_fences = []
    respond = runner.poll

    def respond_and_cut(fence, *args):
        report = respond(fence, *args)
        first_fences.append(fence)
        if fence > first_fences[0]:
            cut_runner(cluster, runner)
        return report

    runner.poll = respond_and_cut
