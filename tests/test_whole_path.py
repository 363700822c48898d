"""A standalone daemon, from its command line to requests and jobs over HTTP.

Guards against components that work alone but fail once they are joined over HTTP.
"""

import io

from flamingoweir.daemon import main
from flamingoweir.environment import Environment
from flamingoweir.exit_status import ExitStatus


def run_daemon(*args: str) -> tuple[ExitStatus, str, str]:
    env = Environment(io.StringIO(), io.StringIO(), {})
    status = main(args, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def test_demo_shows_a_request_and_a_job():
    """Fails if a request or a job does not get through all components."""
    status, out, err = run_daemon("--standalone", "--demo")
    assert status is ExitStatus.SUCCESS, err
    assert '200 {"maker": "Jivabhai", "pairs": 2}' in out
    assert "job leaf-rounds accepted, 12 tasks" in out
    assert "job leaf-rounds: done (12 done)" in out
    assert '"shard": "zone-1/0"' in out


def test_logs_are_one_key_value_line_for_each_event():
    """Fails if a library writes to standard error past the log configuration."""
    _, _, err = run_daemon("--standalone", "--demo")
    for line in err.splitlines():
        assert line.startswith("timestamp="), line
        assert " level=" in line
        assert " event=" in line


def test_demo_needs_standalone():
    """Fails if --demo is accepted for a daemon without stand-ins."""
    status, _, err = run_daemon("--demo")
    assert status is ExitStatus.USAGE
    assert err == "flamingoweird: error: --demo needs --standalone\n"
