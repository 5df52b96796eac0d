"""Records histories of orders under random faults and checks them for violations."""

import asyncio
import random
from collections import Counter

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow.records import Record

from .virtual_fleet import make_document, virtual_fleet

KEY_COUNT = 6
MAX_ATTEMPTS = 12
RETRY_DELAY_MS = 200.0
MAX_ANSWER_MS = 1_500.0
STEPS = ["answer", "cut-after", "cut-before", "hang", "overload", "draining", "unreachable", "die"]
FAULTS = ["kill", "restart", "pause", "store-down", "store-loses", "peer-cut", "none"]
FINAL_CODES = {"key-reused", "key-expired", "outcome-unknown", "backend-fault"}


class Answer(Record):
    """One answer to a caller; ``ran_before`` is how often the key's order had run by then."""

    __slots__ = ("key", "ok", "ran", "code", "ran_before", "took_ms")


class History:
    """All answers of one run, and ``runs``: how often each key's order ran."""

    __slots__ = ("answers", "runs", "seed")

    def __init__(self, seed):
        self.seed = seed
        self.answers = []
        self.runs = Counter()

    def violations(self):
        """Return a text for each violated guarantee."""
        found = []
        for key, count in self.runs.items():
            if count > 1:
                found.append(f"seed {self.seed}: {key} ran {count} times")
        last = {}
        for answer in self.answers:
            last[answer.key] = answer
            if answer.ok and answer.ran_before != 1:
                found.append(f"seed {self.seed}: {answer.key} was confirmed but had not run once")
            if answer.ran is Ran.NO and answer.ran_before > 0:
                found.append(f"seed {self.seed}: {answer.key} 'not run' after it ran")
            if answer.took_ms > MAX_ANSWER_MS:
                found.append(f"seed {self.seed}: {answer.key} waited {answer.took_ms:.0f} ms")
        for key, answer in last.items():
            if answer.ran is Ran.NO and self.runs[key] > 0:
                found.append(f"seed {self.seed}: {key} ran after its last answer, 'not run'")
        return found


async def record_history(seed):
    """Run callers against a fleet with random faults and return the :class:`History`."""
    rng = random.Random(seed)
    history = History(seed)
    async with virtual_fleet(make_document(shards=2), nodes=4, seed=seed) as fleet:
        await fleet.clock.sleep(1_500)
        for server in fleet.servers.values():
            server.script.extend(rng.choices(STEPS, k=rng.randrange(4)))
        callers = []
        for number in range(KEY_COUNT):
            key = fleet.new_key()
            caller_rng = random.Random(seed * 100 + number)
            callers.append(asyncio.create_task(_run_caller(fleet, history, key, caller_rng)))
        faults = asyncio.create_task(_inject_faults(fleet, rng))
        await asyncio.gather(*callers, faults)
        await fleet.clock.sleep(5_000)
        for order in fleet.ran_orders():
            history.runs[order["key"]] += 1
    return history


async def _run_caller(fleet, history, key, rng):
    """Send an order to random nodes until the answer is final, sometimes to two at once."""
    await fleet.clock.sleep(rng.uniform(0, 300))
    earlier = "none"
    for _ in range(MAX_ATTEMPTS):
        sends = 2 if rng.random() < 0.2 else 1
        if sends == 2:
            earlier = "unknown"
        answers = await asyncio.gather(
            *(_send_order(fleet, history, key, rng, earlier) for _ in range(sends))
        )
        if any(answer.ok or answer.code in FINAL_CODES for answer in answers):
            return
        if any(answer.ran is not Ran.NO for answer in answers):
            earlier = "unknown"
        elif earlier == "none":
            earlier = "not-run"
        await fleet.clock.sleep(RETRY_DELAY_MS * rng.uniform(0.5, 1.5))


async def _send_order(fleet, history, key, rng, earlier):
    name = rng.choice(sorted(fleet.nodes))
    entry = fleet.nodes[name]
    order = fleet.make_order(key, earlier=earlier)
    started_ms = fleet.clock.now_ms()
    ok, ran, code = False, Ran.UNKNOWN, "lost"
    order_task = asyncio.create_task(entry.node.orders.run(order))
    try:
        # A caller gets no answer from a node that is paused or killed.
        async with asyncio.timeout(2.0):
            await order_task
        ok, ran, code = True, Ran.YES, "ok"
    except QueryError as error:
        ran, code = error.ran, error.code
    except (TimeoutError, asyncio.CancelledError):
        order_task.cancel()
    if entry.pausable.is_paused or fleet.nodes.get(name) is not entry:
        ok, ran, code = False, Ran.UNKNOWN, "lost"
    ran_before = sum(1 for ran_order in fleet.ran_orders() if ran_order["key"] == key)
    took_ms = fleet.clock.now_ms() - started_ms if code != "lost" else 0.0
    answer = Answer(key=key, ok=ok, ran=ran, code=code, ran_before=ran_before, took_ms=took_ms)
    history.answers.append(answer)
    return answer


async def _inject_faults(fleet, rng):
    for _ in range(3):
        await fleet.clock.sleep(rng.uniform(20, 400))
        fault = rng.choice(FAULTS)
        name = rng.choice(sorted(fleet.nodes))
        entry = fleet.nodes[name]
        if fault == "kill" and len(fleet.nodes) > 2:
            await fleet.kill(name)
        elif fault == "restart" and len(fleet.nodes) > 2:
            await fleet.kill(name)
            await fleet.add(name).node.start()
        elif fault == "pause":
            entry.pausable.pause()
            asyncio.get_running_loop().call_later(rng.uniform(0.1, 4.0), entry.pausable.resume)
        elif fault == "store-down":
            fleet.shared_store.is_down = True
            fleet.shared_store.end_watches()
            await fleet.clock.sleep(rng.uniform(50, 1_500))
            fleet.shared_store.is_down = False
        elif fault == "store-loses":
            fleet.shared_store.lose_answer_chance = 0.3
            fleet.shared_store.lose_call_chance = 0.1
            await fleet.clock.sleep(rng.uniform(50, 1_000))
            fleet.shared_store.lose_answer_chance = 0.0
            fleet.shared_store.lose_call_chance = 0.0
        elif fault == "peer-cut":
            others = [other.address for other in fleet.nodes.values() if other is not entry]
            fleet.network.cut([entry.address], others)
            await fleet.clock.sleep(rng.uniform(50, 1_500))
            fleet.network.heal()
