"""The virtual clock moves on like a real one."""

import asyncio

from auburnhollow_standins.virtual import VirtualClock, run_virtually


# Guards against plays without an end, in which tasks that are always ready keep the time still.
def test_time_passes_while_a_task_is_always_ready():
    async def spin():
        for _ in range(100_000):
            await asyncio.sleep(0)

    async def scenario():
        spinning = asyncio.create_task(spin())
        await VirtualClock().sleep(0.0005)
        return not spinning.done()

    assert run_virtually(scenario())
