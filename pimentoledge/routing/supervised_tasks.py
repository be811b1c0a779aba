"""Tasks and threads without which a process must not go on.

A router whose receiving thread or watcher has ended would accept connections
and serve nothing, and the platform restarts only processes that have ended.
"""

import asyncio
from collections.abc import Coroutine

# Key of the context that names a task in a call of the exception handler.
_NAME_KEY = "supervised_task"


class TaskEndedError(Exception):
    """A supervised task or thread ended unexpectedly."""


def start(name: str, coroutine: Coroutine) -> asyncio.Task:
    """Starts a task whose end is reported unless it is cancelled."""
    task = asyncio.get_running_loop().create_task(coroutine, name=name)
    task.add_done_callback(_report_end)
    return task


def _report_end(task: asyncio.Task) -> None:
    if not task.cancelled():
        report(task.get_name(), task.exception())


def report(name: str, error: BaseException | None) -> None:
    """Reports an unexpected end to the event loop's exception handler."""
    context = {"message": f"{name} ended unexpectedly", _NAME_KEY: name}
    if error is not None:
        context["exception"] = error
    asyncio.get_running_loop().call_exception_handler(context)


def ended_task(context: dict) -> str | None:
    """Returns which task a call of an exception handler reports, or None."""
    return context.get(_NAME_KEY)
