"""Tests of the platform adapter: decoding of its wire formats and settings."""

import pathlib
import re

import orjson
import pytest

import flamingoweir
from flamingoweir.dispatch import RunnerUnreachable
from flamingoweir.jobs import Outcome, TaskId
from flamingoweir.platform import PlatformRowDecoder, load_platform_settings
from flamingoweir.platform._runners import PlatformRunnerLink
from flamingoweir.registry import UnreadableRow
from flamingoweir.settings import SettingsError
from flamingoweir.transport import Response

PACKAGE = pathlib.Path(flamingoweir.__file__).parent
#: Names of the platform's wire formats in their spelling on the wire.
WIRE_NAME = re.compile(
    r"\b(FenceToken|DueMs|AckCursor|WaitMs|ClockMs|EstimateMs|LongRunning|MayMiss|"
    r"DataRack|CpuShare|SetKeys|DeleteKeys|HasMore|Tombstone|PathPrefix|"
    r"run-start|run-stop|rows-tx|rows-get|rows-feed|EnforcesCapacity)\b"
)
ENTRY = {
    "Service": "turning",
    "Address": "10.0.0.9:80",
    "Zone": "powys",
    "State": "ready",
    "Capacity": {"Cpu": 16000, "MemMb": 32768, "Gpu": 1},
    "Labels": ["a", "r1-3"],
    "born": 17,
    "Sequence": 4,
}
SETTINGS = """
NodeName = "front-1"
Ip = "10.1.0.13"
Zone = "powys"
PortRange = [7720,7735]
New = "ignored"
[Listen]
Front = "10.1.0.13:8161"
Ready = "10.1.0.13:8167"
[PolicyBounds]
MaxHoldMs = 6000
GraceS = 6
status_s = 120
[platform]
Address = "10.200.1.7:8169"
"""


def test_wire_names_stay_in_the_adapter():
    """Other packages must not depend on the platform's wire formats."""
    found = []
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.parent.name == "platform":
            continue
        for line in path.read_text().splitlines():
            if WIRE_NAME.search(line):
                found.append(f"{path.relative_to(PACKAGE)}: {line.strip()}")
    assert not found


def test_runner_row_is_decoded():
    entry = PlatformRowDecoder().decode_runner("i-1", orjson.dumps(ENTRY))
    assert (entry.id, entry.incarnation, entry.rack) == ("i-1", 17, "r1-3")
    assert entry.capacity.accelerators == 1
    assert not entry.draining


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"Capacity": None},
        {"Address": 9},
        {"born": "17"},
        {"Labels": "a"},
    ],
)
def test_runner_row_with_invalid_field_is_rejected(change):
    """Another program may write rows that are not in the format of a runner's row.

    Such a row must not be taken for a runner.
    """
    with pytest.raises(UnreadableRow):
        PlatformRowDecoder().decode_runner("i-1", orjson.dumps({**ENTRY, **change}))


def test_runner_row_that_is_not_json_is_rejected():
    with pytest.raises(UnreadableRow):
        PlatformRowDecoder().decode_runner("i-1", b"\xff{")


def test_platform_settings_ignore_unknown_keys(tmp_path):
    """Keys that the platform adds to its file must not stop an instance."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_platform_settings(str(path))
    assert settings.name == "front-1"
    assert settings.max_lease_s == 6.0
    assert settings.peer_port == 7720


@pytest.mark.parametrize(
    ("limits", "processors"),
    [
        ("[Limits]\nCpuShare = 0.537\nCores = 2\n", 1.074),
        ("[Limits]\nCpuShare = 0.516\nMemoryMb = 300\n", 0.516),
        ("", 1.0),
    ],
)
def test_platform_settings_give_the_processors(tmp_path, limits, processors):
    """The processors decide which standby takes a shard; the section may be missing."""
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS + limits)
    assert load_platform_settings(str(path)).processors == pytest.approx(processors)


def test_platform_settings_say_whether_and_how_fast_keys_are_revoked(tmp_path):
    """Guards against keys that are not checked, or that work for too long."""
    bounds = "[PolicyBounds]\nRevokeMs = 4000\nConfigApplyMs = 2500\n"
    path = tmp_path / "node.toml"
    text = SETTINGS.replace("[PolicyBounds]\n", bounds)
    path.write_text(text)
    settings = load_platform_settings(str(path))
    assert (settings.customers, settings.revoke_s) == (False, None)
    path.write_text(
        'Policies = ["tenants"]\n'
        + text.replace("[PolicyBounds]\n", "[PolicyBounds]\nStrictRevoke = true\n")
    )
    settings = load_platform_settings(str(path))
    assert (settings.customers, settings.revoke_s) == (True, 4.0)
    assert settings.config_apply_s == 2.5


def test_invalid_platform_setting_is_named(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace('"10.200.1.7:8169"', "7"))
    with pytest.raises(SettingsError, match=r"platform\.Address"):
        load_platform_settings(str(path))


def test_runner_report_is_decoded():
    body = {
        "ClockMs": 482113,
        "born": 17,
        "Running": [["5c0e7a21d94b36f8.0.1.17", 2, "ab", 41, 12.5]],
        "Ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
    }
    report = PlatformRunnerLink("i-1", "10.0.0.9:80")._decode_report(orjson.dumps(body))
    (running,), (ended,) = report.running, report.ended
    assert running.task == TaskId("5c0e7a21d94b36f8", 0, 1, 17)
    assert (running.progress_percent, running.load) == (41, 12.5)
    assert (ended.number, ended.outcome) == (58, Outcome.DONE)


def test_repeated_report_is_decoded_anew():
    """A report repeats the tasks of the one before, with other values."""
    link = PlatformRunnerLink("i-1", "10.0.0.9:80")
    for rows in (
        [["5c0e7a21d94b36f8.0.1.17", 2, "ab", 41, 12.5], ["ff.0.0.0", 1, "", 0]],
        [["5c0e7a21d94b36f8.0.1.17", 3, "ac", 42, None], ["fe.0.0.0", 1, "", 0]],
    ):
        body = orjson.dumps({"ClockMs": 1, "Running": rows})
        first, second = link._decode_report(body).running
        assert first.task == TaskId("5c0e7a21d94b36f8", 0, 1, 17)
        assert [first.run, first.checkpoint, first.progress_percent] == rows[0][1:4]
        assert first.load == rows[0][4]
        assert second.task == TaskId(rows[1][0][:2], 0, 0, 0)


@pytest.mark.parametrize(
    "rows",
    [
        [[]],
        [["5c0e7a21d94b36f8.0.1.17", 2]],
        [["5c0e7a21d94b36f8.0.1.17", "two", "", 0]],
        [["5c0e7a21d94b36f8.0.1.17", 2, "", "half"]],
        [["5c0e7a21d94b36f8.0.1.17", 2, "", 0, "much"]],
        [["5c0e7a21d94b36f8", 2, "", 0]],
        [["5c0e7a21d94b36f8.0.1.last", 2, "", 0]],
        [[["5c0e7a21d94b36f8.0.1.17"], 2, "", 0]],
        [[None, 2, "", 0]],
        [[17, 2, "", 0]],
        ["5c0e7a21d94b36f8.0.1.17"],
    ],
)
def test_invalid_report_is_rejected(rows):
    """An owner must not end its term because of one runner's report."""
    valid = [["5c0e7a21d94b36f8.0.1.17", 2, "", 0]]
    for field in ("Running", "Ended"):
        link = PlatformRunnerLink("i-1", "10.0.0.9:80")
        link._decode_report(orjson.dumps({"ClockMs": 1, "Running": valid}))
        body = orjson.dumps({"ClockMs": 1, field: rows})
        with pytest.raises(RunnerUnreachable):
            link._decode_report(body)


REPORTED_TASK = b'"5c0e7a21d94b36f8.0.1.17"'


@pytest.mark.parametrize(
    "body",
    [
        b'{"ClockMs":1,"born":3,"Running":[[%b,1e999,"",0]],"Ended":[]}'
        % REPORTED_TASK,
        b'{"ClockMs":1,"born":3,"Running":[],"Ended":[[1e999,%b,1,"done",""]]}'
        % REPORTED_TASK,
        b'{"ClockMs":NaN,"born":3,"Running":[],"Ended":[]}',
        b'{"ClockMs":1,"born":1%b,"Running":[],"Ended":[]}' % (b"0" * 400),
        b'{"ClockMs":1,"born":3,"Running":[[%b,1%b,"",0]],"Ended":[]}'
        % (REPORTED_TASK, b"0" * 400),
        b'{"ClockMs":1,"born":3,"Running":[[%b,1,{"a":1},0]],"Ended":[]}'
        % REPORTED_TASK,
        b'{"ClockMs":1,"born":3,"Running":[[%b,1,"",1e999]],"Ended":[]}'
        % REPORTED_TASK,
        b'{"ClockMs":1,"born":3,"Running":[[%b,1,"",0,-1e999]],"Ended":[]}'
        % REPORTED_TASK,
        b'{"ClockMs":1,"born":3,"Ended":[[1,%b,1,"done",9]]}' % REPORTED_TASK,
        b'{"ClockMs":1,"Running":[["5c0e7a21d94b36f8.0.1.1%b",1,"",0]]}' % (b"0" * 400),
    ],
    ids=["run", "number", "clock", "born", "long_run", "nested_checkpoint"]
    + ["percent", "load", "checkpoint", "index"],
)
def test_number_out_of_range_in_a_report_is_an_invalid_report(body):
    """Guards against an OverflowError that ends the owner's watch, and its term."""
    link = PlatformRunnerLink("runner", "127.0.0.1:1")
    with pytest.raises(RunnerUnreachable):
        link._decode_report(body)


def test_rejected_start_is_classified():
    """What follows a rejected start depends on the runner's reason and status."""
    runner = PlatformRunnerLink("i-1", "10.0.0.9:80")
    for reason, name in (("fence", "fenced"), ("late", "late"), ("room", "no_room")):
        body = orjson.dumps({"ClockMs": 1, "Reason": reason})
        assert runner._classify(Response(409, body))[0].value == name
    assert runner._classify(Response(503, b""))[0].value == "unhealthy"
    assert runner._classify(Response(421, b""))[0].value == "rejected"
