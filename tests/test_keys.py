"""Tests of customers' keys: who is served, whose jobs are seen, and what is logged."""

import io

import anyio
import orjson
import pytest

from flamingoweir import logs
from flamingoweir.jobs import (
    StateRecord,
    decode_spec,
    decode_state,
    encode_spec,
    encode_state,
)
from flamingoweir.ownership import cancel_row, job_row, state_row
from flamingoweir.platform import PlatformRowDecoder
from flamingoweir.platform._store import _decode_page
from flamingoweir.policy import KeyDecision, decide_key
from flamingoweir.registry import OperatorView, TableFollower
from flamingoweir.standins import MemoryRows, RowsLink
from flamingoweir.storage import RowId, RowPage, StoreOutcomeUnknown, VersionedRow
from flamingoweir.transport import Response
from tests.utils.cluster import make_configuration, make_job, run_cluster
from tests.utils.ingress import call
from tests.utils.virtual_time import VirtualClock, run_virtual

CONFIG_ROW = RowId("op", "", "config")
JOB = f"{1:016x}"
BODY = orjson.dumps({"Phases": [{"Count": 1, "Cpu": 1000, "EstimateMs": 1000}]})
KAJE, LUME = "gkcu-7d11", "ex5w-02aa"
TENANTS = [
    {"Name": "kaje80", "ApiKeys": [KAJE, "gkcu-second"]},
    {"Name": "lume12", "ApiKeys": [LUME]},
]


async def add_front(cluster, **settings):
    """Add an instance where customers are in force; wait until it has its table."""
    cluster.settings = {"customers": True, "revoke_s": 5.0, **settings}
    member = cluster.add_member("front")
    await anyio.sleep(1)
    return member


@pytest.mark.parametrize(
    "known, age_s, readable, revoke_s, expected",
    [
        (True, 3.89, True, 5.0, KeyDecision.ACCEPTED),
        (True, 3.9, True, 5.0, KeyDecision.UNDECIDED),
        (True, 0.99, True, 2.0, KeyDecision.ACCEPTED),
        (True, 1.0, True, 2.0, KeyDecision.UNDECIDED),
        (True, 3600.0, True, None, KeyDecision.ACCEPTED),
        (True, 0.0, False, None, KeyDecision.UNDECIDED),
        (False, 1.89, True, 5.0, KeyDecision.UNAUTHENTICATED),
        (False, 1.9, True, 5.0, KeyDecision.UNDECIDED),
        (False, float("inf"), True, None, KeyDecision.UNDECIDED),
        (False, 0.0, False, 5.0, KeyDecision.UNDECIDED),
    ],
)
def test_key_is_decided_from_the_age_of_the_proof(
    known, age_s, readable, revoke_s, expected
):
    """Guards against removed keys that work, and new ones that count as unknown."""
    assert decide_key(known, age_s, readable, revoke_s, 3.0) is expected


def test_proof_counts_from_the_sending_of_a_read():
    """Guards against a wait that was answered early, and whose answer came late.

    The answer was then true at its beginning only, and keys would work longer.
    """

    class LateStore(RowsLink):
        async def follow(self, table, after, wait_s):
            page = RowPage([], False, self.rows.version)
            await anyio.sleep(wait_s)
            return page

    async def scenario():
        clock = VirtualClock()
        store = LateStore(MemoryRows())
        follower = TableFollower(store, "op", ("",), 0.9, lambda *_: None, clock)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            started_s = clock.now()
            await anyio.sleep(2.0)
            assert follower.proof_sent_s == pytest.approx(started_s + 0.9, abs=0.05)
            tasks.cancel_scope.cancel()

    run_virtual(scenario)


def test_changes_withheld_before_the_history_was_dropped_are_read():
    """Guards against a change that is never received, and a key that works for good.

    The feed was answered without changes as of a version that had some.
    """

    async def scenario():
        rows, received = MemoryRows(), []
        store = RowsLink(rows)
        follower = TableFollower(
            store,
            "op",
            ("",),
            0.3,
            lambda found, _: received.extend(found),
            VirtualClock(),
        )
        rows.put(CONFIG_ROW, b"1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            await anyio.sleep(2.5)
            rows.feeds_withheld = True
            rows.put(CONFIG_ROW, b"2")
            await anyio.sleep(1.0)
            rows.feeds_withheld = False
            rows.discard_table_history("op")
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()
        assert received[-1].value == b"2"

    run_virtual(scenario)


def test_configuration_that_is_not_the_newest_row_is_known_as_such():
    """Guards against keys of a configuration that a broken or older row replaced."""
    view = OperatorView(PlatformRowDecoder())

    def apply(value, whole=False, deleted=False):
        view.apply_rows([VersionedRow(CONFIG_ROW, value, 1, deleted)], whole)
        return view.configuration_readable, getattr(view.configuration, "version", None)

    assert apply(b"{") == (False, None)
    assert apply(make_configuration(2)) == (True, 2)
    assert apply(b'{"Version": 3, "Tenants": 1}') == (False, 2)
    assert apply(make_configuration(2)) == (True, 2)
    assert apply(make_configuration(1)) == (False, 2), "versions don't go back"
    assert apply(make_configuration(4), whole=True) == (True, 4)
    assert apply(None) == (False, 4)
    assert apply(make_configuration(5)) == (True, 5)
    assert apply(None, deleted=True) == (False, 5)
    assert apply(make_configuration(6)) == (True, 6)
    view.apply_rows([], True)
    assert not view.configuration_readable


@pytest.mark.parametrize("method", ["GET", "POST", "DELETE", "PUT"])
def test_request_without_a_valid_key_is_refused(method):
    """Guards against a method for which keys are not checked."""

    async def scenario():
        async with run_cluster(members=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = await add_front(cluster)
            for key, scheme in [
                (None, ""),
                ("gkcu", "Bearer"),
                (KAJE, "Basic"),
                ("", "Bearer"),
                (f"{KAJE} {LUME}", "Bearer"),
            ]:
                for path in ("", JOB):
                    answer = await call(
                        cluster, member, method, path, key, BODY, scheme
                    )
                    assert answer.status == 401
                    assert answer.headers[b"www-authenticate"] == b"Bearer"
                    assert answer.headers[b"x-flamingoweir-verdict"] == b"not_run"
            # An unknown queue comes first, as its rule on keys is not known.
            member.instance.operators.configuration.queue_by_name.clear()
            answer = await call(cluster, member, method, JOB, None, BODY)
            assert answer.status == 404
            assert not cluster.rows.rows("jobs", job_row("s0", JOB).part)

    run_virtual(scenario)


def test_keys_are_needed_where_settings_or_configuration_say_so():
    """Guards against open queues in a deployment with customers, and the reverse."""

    async def scenario():
        async with run_cluster(members=0) as cluster:
            member = await add_front(cluster, customers=False)
            for number, (fields, expected) in enumerate(
                [
                    ({}, 200),
                    ({"Tenants": []}, 401),
                    ({"Tenants": TENANTS}, 401),
                    ({"Tenants": TENANTS, "public": True}, 200),
                    ({}, 200),
                ]
            ):
                cluster.configure(10 + number, **fields)
                await anyio.sleep(0.1)
                for key in (None, "gkcu"):
                    answer = await call(cluster, member, "POST", JOB, key, BODY)
                    assert answer.status == expected, fields
            cluster.kill_member(member)
            member = await add_front(cluster)
            assert (await call(cluster, member, "POST", JOB, KAJE, BODY)).status == 401

    run_virtual(scenario)


@pytest.mark.parametrize("fault", ["down", "silent", "paused"])
def test_instance_that_cannot_know_of_a_removal_refuses_without_a_verdict_on_the_key(
    fault,
):
    """Guards against a removed key that works where the removal is not known.

    The refusal asks for a retry and is no 401, which would be untrue of a valid key. An
    instance that was paused checks the first call before it has read anything.
    """

    async def scenario():
        async with run_cluster(members=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = await add_front(cluster)
            assert (await call(cluster, member, "POST", JOB, KAJE, BODY)).status == 200
            if fault == "paused":
                member.process.paused = True
            else:
                setattr(member.store, fault, True)
            await anyio.sleep(5)
            for key in (KAJE, "gkcu", None):
                answer = await call(cluster, member, "GET", "", key)
                assert answer.status == 503
                assert answer.headers[b"retry-after"] == b"1"
                assert answer.headers[b"x-flamingoweir-verdict"] == b"not_run"
                assert b"www-authenticate" not in answer.headers
            if fault == "paused":
                member.process.resume()
            else:
                setattr(member.store, fault, False)
            await anyio.sleep(2)
            assert (await call(cluster, member, "GET", JOB, KAJE)).status == 200

    run_virtual(scenario)


def test_new_instance_serves_nothing_before_it_has_read_the_configuration():
    """Guards against requests without a check right after a restart."""

    async def scenario():
        async with run_cluster(members=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = cluster.add_member("front")
            member.store.down = True
            await anyio.sleep(1)
            for key in (KAJE, None):
                answer = await call(cluster, member, "POST", JOB, key, BODY)
                assert answer.status == 503

    run_virtual(scenario)


def test_job_belongs_to_the_customer_who_submitted_it():
    """Guards against customers who read, cancel or take over the jobs of others.

    The rightful customer must find its job under each of its keys.
    """

    async def scenario():
        async with run_cluster(members=0, runners=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = await add_front(cluster)

            async def status(method, key, body=b""):
                return (await call(cluster, member, method, JOB, key, body)).status

            assert await status("POST", KAJE, BODY) == 200
            row = job_row("s0", JOB)
            assert decode_spec(cluster.rows.row_by_id[row].value).customer == "kaje80"
            assert await status("POST", "gkcu-second", BODY) == 200
            assert await status("GET", KAJE) == 200
            assert await status("GET", LUME) == 410
            assert await status("DELETE", LUME) == 410
            assert cancel_row("s0", JOB) not in cluster.rows.row_by_id
            answer = await call(cluster, member, "POST", JOB, LUME, BODY)
            assert answer.status == 409
            assert answer.headers[b"x-flamingoweir-verdict"] == b"not_run"
            cluster.configure(3, Tenants=TENANTS, public=True)
            await anyio.sleep(0.1)
            answer = await call(cluster, member, "POST", JOB, KAJE, BODY)
            assert answer.status == 409
            # The caller may be the customer, whose key is ignored: the job may run.
            assert answer.headers[b"x-flamingoweir-verdict"] == b"may_have_run"
            assert await status("GET", KAJE) == 410
            cluster.configure(4, Tenants=TENANTS)
            await anyio.sleep(0.1)
            assert await status("DELETE", "gkcu-second") == 200
            assert cancel_row("s0", JOB) in cluster.rows.row_by_id
            # A job without a customer is anyone's.
            other = make_job(2)
            cluster.rows.put(job_row("s0", other.id), encode_spec(other))
            for key in (KAJE, LUME):
                for method in ("POST", "GET", "DELETE"):
                    answer = await call(cluster, member, method, other.id, key, BODY)
                    assert answer.status == 200

    run_virtual(scenario)


@pytest.mark.parametrize("customer", ["kaje80", "", None], ids=["own", "none", "old"])
def test_ended_job_is_shown_to_its_customer_only(customer):
    """Guards against states of others' jobs, and against further calls to the store.

    State rows of the previous build don't name the customer: the job row does.
    """

    async def scenario():
        async with run_cluster(members=0, runners=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = await add_front(cluster)
            assert (await call(cluster, member, "POST", JOB, KAJE, BODY)).status == 200
            record = StateRecord("done", 1, customer=customer)
            cluster.rows.put(state_row("s0", JOB), encode_state(record))
            reads = []
            read = member.store.read

            async def count(table, *args):
                if table in ("jobs", "states"):
                    reads.append(table)
                return await read(table, *args)

            member.store.read = count
            for _ in range(2):
                answer = await call(cluster, member, "GET", JOB, LUME)
                assert answer.status == (200 if customer == "" else 410)
                answer = await call(cluster, member, "GET", JOB, KAJE)
                assert (answer.status, answer.body) == (200, b'{"State":"done"}')
            own = [table for table in reads if table in ("jobs", "states")]
            assert own == (["states", "jobs"] if customer is None else ["states"])
            cluster.rows.delete(job_row("s0", JOB))
            answer = await call(cluster, member, "DELETE", JOB, LUME)
            assert answer.status == (200 if customer == "" else 410)

    run_virtual(scenario)


def test_owner_writes_the_customer_into_the_state_row():
    """Guards against a further read of the store with each request for a state."""

    async def scenario():
        async with run_cluster(members=2) as cluster:
            await cluster.owner()
            await cluster.submit(make_job(1, customer="kaje80"))
            await anyio.sleep(4)
            value = cluster.rows.row_by_id[state_row("s0", JOB)].value
            assert decode_state(JOB, value) == StateRecord(
                "done", decode_state(JOB, value).ended_ms, customer="kaje80"
            )

    run_virtual(scenario)


def test_previous_build_and_this_one_read_each_others_state_rows():
    """Guards against rows that the other build can't read during an upgrade."""
    assert decode_state(JOB, b'{"state":"done","ended_ms":1}').customer is None
    fields = orjson.loads(encode_state(StateRecord("done", 1, customer="kaje80")))
    assert fields == {"state": "done", "ended_ms": 1, "customer": "kaje80"}
    unknown_field = b'{"state":"done","ended_ms":1,"later":"x"}'
    assert decode_state(JOB, unknown_field).state == "done"


def test_requests_are_served_as_before_without_customers():
    """Guards against a change for deployments that have no customers.

    A key is ignored, nothing is refused for its age, and no further call is made.
    """

    async def scenario():
        async with run_cluster(members=0, runners=0) as cluster:
            cluster.settings = {"revoke_s": 5.0}
            member = cluster.add_member("front")
            await anyio.sleep(3)
            for key in (None, "gkcu"):
                for method, path, status in [
                    ("GET", "", 200),
                    ("POST", JOB, 200),
                    ("GET", JOB, 200),
                    ("DELETE", JOB, 200),
                    ("GET", f"{2:016x}", 410),
                    ("DELETE", f"{2:016x}", 410),
                    ("PUT", JOB, 400),
                ]:
                    answer = await call(cluster, member, method, path, key, BODY)
                    assert answer.status == status, (method, path)
            # Also a job from a time in which there were customers.
            ended = f"{3:016x}"
            record = StateRecord("done", 1, customer="kaje80")
            cluster.rows.put(state_row("s0", ended), encode_state(record))
            assert (await call(cluster, member, "GET", ended)).status == 200
            member.store.down = True
            await anyio.sleep(10)
            assert (await call(cluster, member, "GET", ended)).status == 200

    run_virtual(scenario)


def test_no_key_is_logged_or_answered():
    """Guards against keys in log lines, errors, metrics and descriptions of objects.

    Rows and responses that can't be read quote their contents in their errors.
    """
    stream = io.StringIO()
    logs.configure(stream, "debug")
    texts = []

    async def scenario():
        async with run_cluster(members=0) as cluster:
            cluster.configure(2, Tenants=TENANTS)
            member = await add_front(cluster)
            for key in (KAJE, LUME, "ungu-unknown"):
                for method in ("POST", "GET", "DELETE", "PUT"):
                    answer = await call(cluster, member, method, JOB, key, BODY)
                    texts.extend([str(answer.headers), answer.body.decode()])
            texts.append(repr(member.instance.operators.configuration))
            broken = [{"Name": "kaje80", "ApiKeys": KAJE}]
            cluster.configure(3, Tenants=broken)
            await anyio.sleep(0.5)
            cluster.rows.put(CONFIG_ROW, make_configuration(4, Tenants=TENANTS)[:-9])
            await anyio.sleep(0.5)
            answer = await call(cluster, member, "GET", "", KAJE)
            assert answer.status == 503
            texts.append(answer.body.decode())

    run_virtual(scenario)
    with pytest.raises(StoreOutcomeUnknown) as caught:
        _decode_page(Response(200, orjson.dumps({"rows": TENANTS})))
    texts.append(str(caught.value))
    logged = stream.getvalue()
    assert "event=key_not_accepted" in logged
    assert "event=operator_row_unreadable" in logged
    for text in [logged, *texts]:
        for key in (KAJE, LUME, "gkcu-second", "ungu-unknown"):
            assert key not in text


def test_configuration_changed_in_place_needs_a_new_version():
    """Guards against a key that works on after its row was rewritten in place.

    A configuration with other contents must have a higher version.
    """

    async def scenario():
        async with run_cluster(members=1) as cluster:
            member = cluster.member_by_name["front-0"]
            await cluster.owner()
            operators = member.instance.operators
            cluster.configure(2, Tenants=[{"Name": "a", "ApiKeys": ["key-a"]}])
            await anyio.sleep(1)
            assert operators.configuration_readable
            cluster.configure(2, Tenants=[{"Name": "a", "ApiKeys": []}])
            await anyio.sleep(1)
            assert not operators.configuration_readable
            cluster.configure(3, Tenants=[{"Name": "a", "ApiKeys": []}])
            await anyio.sleep(1)
            assert operators.configuration_readable

    run_virtual(scenario)
