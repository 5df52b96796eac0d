"""Histories of orders under random faults, and what must hold of each."""

import asyncio
import random
from collections import Counter

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow.records import Record

from .virtual_fleet import make_document, virtual_fleet

KEYS = 6
MOST_TRIES = 12
RETRY_MS = 200.0
LONGEST_ANSWER_MS = 1_500.0
STEPS = ["answer", "cut-after", "cut-before", "hang", "overload", "draining", "unreachable", "die"]
FAULTS = ["kill", "restart", "pause", "store-down", "store-loses", "peer-cut", "none"]
FINAL = {"key-reused", "key-expired", "outcome-unknown", "backend-fault"}


class Answer(Record):
    """One answer to a caller; ``ran_before`` is how often the key had run by then."""

    __slots__ = ("key", "ok", "ran", "code", "ran_before", "took_ms")


class History:
    """All answers of one run and what the backend servers ran."""

    __slots__ = ("answers", "runs", "seed")

    def __init__(self, seed):
        self.seed = seed
        self.answers = []
        self.runs = Counter()

    def violations(self):
        """Return a text for each promise that was broken."""
        found = []
        for key, count in self.runs.items():
            if count > 1:
                found.append(f"seed {self.seed}: {key} ran {count} times")
        last = {}
        for answer in self.answers:
            last[answer.key] = answer
            if answer.ok and answer.ran_before != 1:
                found.append(f"seed {self.seed}: {answer.key} was confirmed and did not run")
            if answer.ran is Ran.NO and answer.ran_before > 0:
                found.append(f"seed {self.seed}: {answer.key} 'not run' after it ran")
            if answer.took_ms > LONGEST_ANSWER_MS:
                found.append(f"seed {self.seed}: {answer.key} waited {answer.took_ms:.0f} ms")
        for key, answer in last.items():
            if answer.ran is Ran.NO and self.runs[key] > 0:
                found.append(f"seed {self.seed}: {key} ran after its last answer, 'not run'")
        return found


async def record_history(seed):
    """Run callers against a faulty fleet and return the :class:`History`."""
    seeded = random.Random(seed)
    history = History(seed)
    async with virtual_fleet(make_document(shards=2), nodes=4, seed=seed) as fleet:
        await fleet.clock.sleep(1_500)
        for server in fleet.servers.values():
            server.script.extend(seeded.choices(STEPS, k=seeded.randrange(4)))
        callers = []
        for number in range(KEYS):
            key = fleet.new_key()
            caller_seed = random.Random(seed * 100 + number)
            callers.append(asyncio.create_task(_call(fleet, history, key, caller_seed)))
        faults = asyncio.create_task(_inject(fleet, seeded))
        await asyncio.gather(*callers, faults)
        await fleet.clock.sleep(5_000)
        for order in fleet.ran_orders():
            history.runs[order["key"]] += 1
    return history


async def _call(fleet, history, key, seeded):
    """Ask random nodes until the answer is final, at times twice at once."""
    await fleet.clock.sleep(seeded.uniform(0, 300))
    earlier = "none"
    for _ in range(MOST_TRIES):
        tries = 2 if seeded.random() < 0.2 else 1
        if tries == 2:
            earlier = "unknown"
        answers = await asyncio.gather(
            *(_ask(fleet, history, key, seeded, earlier) for _ in range(tries))
        )
        if any(answer.ok or answer.code in FINAL for answer in answers):
            return
        if any(answer.ran is not Ran.NO for answer in answers):
            earlier = "unknown"
        elif earlier == "none":
            earlier = "not-run"
        await fleet.clock.sleep(RETRY_MS * seeded.uniform(0.5, 1.5))


async def _ask(fleet, history, key, seeded, earlier):
    name = seeded.choice(sorted(fleet.nodes))
    entry = fleet.nodes[name]
    order = fleet.make_order(key, earlier=earlier)
    started_ms = fleet.clock.now_ms()
    ok, ran, code = False, Ran.UNKNOWN, "lost"
    asked = asyncio.create_task(entry.node.orders.run(order))
    try:
        # A caller's connection to a node that stands still or ends gives nothing.
        async with asyncio.timeout(2.0):
            await asked
        ok, ran, code = True, Ran.YES, "ok"
    except QueryError as error:
        ran, code = error.ran, error.code
    except (TimeoutError, asyncio.CancelledError):
        asked.cancel()
    if entry.pausable.is_paused or fleet.nodes.get(name) is not entry:
        ok, ran, code = False, Ran.UNKNOWN, "lost"
    ran_before = sum(1 for ran_order in fleet.ran_orders() if ran_order["key"] == key)
    took_ms = fleet.clock.now_ms() - started_ms if code != "lost" else 0.0
    answer = Answer(key=key, ok=ok, ran=ran, code=code, ran_before=ran_before, took_ms=took_ms)
    history.answers.append(answer)
    return answer


async def _inject(fleet, seeded):
    for _ in range(3):
        await fleet.clock.sleep(seeded.uniform(20, 400))
        fault = seeded.choice(FAULTS)
        name = seeded.choice(sorted(fleet.nodes))
        entry = fleet.nodes[name]
        if fault == "kill" and len(fleet.nodes) > 2:
            await fleet.kill(name)
        elif fault == "restart" and len(fleet.nodes) > 2:
            await fleet.kill(name)
            await fleet.add(name).node.start()
        elif fault == "pause":
            entry.pausable.pause()
            asyncio.get_running_loop().call_later(seeded.uniform(0.1, 4.0), entry.pausable.resume)
        elif fault == "store-down":
            fleet.shared_store.is_down = True
            fleet.shared_store.end_watches()
            await fleet.clock.sleep(seeded.uniform(50, 1_500))
            fleet.shared_store.is_down = False
        elif fault == "store-loses":
            fleet.shared_store.lose_answer_chance = 0.3
            fleet.shared_store.lose_call_chance = 0.1
            await fleet.clock.sleep(seeded.uniform(50, 1_000))
            fleet.shared_store.lose_answer_chance = 0.0
            fleet.shared_store.lose_call_chance = 0.0
        elif fault == "peer-cut":
            others = [other.address for other in fleet.nodes.values() if other is not entry]
            fleet.network.cut([entry.address], others)
            await fleet.clock.sleep(seeded.uniform(50, 1_500))
            fleet.network.heal()
