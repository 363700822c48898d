"""An event loop in virtual time, which advances only while no callback is ready.

Tasks that run in the context of a `Process` do not advance while that process is
paused, like the tasks of a process stopped by SIGSTOP.
"""

import asyncio
import contextvars
from collections.abc import Awaitable, Callable

import anyio

from flamingoweir.clock import Clock

current_process: contextvars.ContextVar["Process | None"] = contextvars.ContextVar(
    "current_process", default=None
)


class Process:
    """A group of tasks that can be paused."""

    def __init__(self) -> None:
        self.paused = False
        self._deferred: list[tuple] = []

    def defer(self, callback, args, context) -> None:
        self._deferred.append((callback, args, context))

    def resume(self) -> None:
        self.paused = False
        deferred, self._deferred = self._deferred, []
        loop = asyncio.get_running_loop()
        for callback, args, context in deferred:
            loop.call_soon(callback, *args, context=context)


class _Selector:
    """A selector that advances virtual time instead of waiting for sockets."""

    def __init__(self, loop: "VirtualTimeLoop", selector):
        self._loop = loop
        self._selector = selector

    def select(self, timeout):
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready and no timer is set")
        self._loop.virtual_s += timeout
        return []

    def __getattr__(self, name):
        return getattr(self._selector, name)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is `virtual_s`, in seconds; it starts at 1000."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_s = 1000.0
        self._selector = _Selector(self, self._selector)

    def time(self) -> float:
        return self.virtual_s

    def call_soon(self, callback, *args, context=None):
        process = (context or contextvars.copy_context()).get(current_process)
        if process is not None and process.paused:
            process.defer(callback, args, context)
            return asyncio.Handle(callback, args, self, context)
        return super().call_soon(callback, *args, context=context)


class VirtualClock(Clock):
    """A clock that runs at a given rate, to simulate clock drift."""

    def __init__(self, rate: float = 1.0):
        self._rate = rate

    def now(self) -> float:
        return anyio.current_time() * self._rate


def run_virtual(function: Callable[..., Awaitable], *args):
    """Run an async function in virtual time and return its result."""
    return anyio.run(function, *args, backend_options={"loop_factory": VirtualTimeLoop})


async def take_turns(cost_s: float) -> None:
    """Let each turn of the event loop take virtual time, as on a busy machine."""
    while True:
        asyncio.get_running_loop().virtual_s += cost_s
        await anyio.sleep(0)


def charge_calls(monkeypatch, owner, name: str, cost_s: float) -> None:
    """Let each call of a method take virtual time, like computing does.

    Parameters
    ----------
    monkeypatch : pytest.MonkeyPatch
        Restores the method at the end of the test.
    owner : type
        Class of the method.
    name : str
        Name of the method.
    cost_s : float
        Seconds that a call takes.
    """
    original = getattr(owner, name)

    def charged(*args):
        asyncio.get_running_loop().virtual_s += cost_s
        return original(*args)

    monkeypatch.setattr(owner, name, charged)
