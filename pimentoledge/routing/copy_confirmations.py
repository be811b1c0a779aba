"""Confirms with the store that copies of its objects are current."""

import asyncio
from collections.abc import Iterable

from pimentoledge.routing import clocks
from pimentoledge.routing import watchers

# Longest time for the store's responses.
CONFIRM_SECONDS = 0.25
STEP_SECONDS = 0.005


async def confirm(followed: Iterable[watchers.Watcher]) -> bool:
    """Returns whether copies have all changes made before this call.

    Peers' reports don't count: what they say of a copy's age leaves out the
    time for which the report was on its way.

    Args:
        followed: the watchers of the copies; each polls the store.
    """
    began = clocks.now()
    pending = list(followed)
    for each in pending:
        each.catch_up()
    while True:
        pending = [each for each in pending if each.complete_at < began]
        if not pending:
            return True
        if clocks.now() - began > CONFIRM_SECONDS:
            return False
        await asyncio.sleep(STEP_SECONDS)
