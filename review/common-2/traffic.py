"""Traffic of requesters: single statements, each with a session of its own, at a steady rate."""

import asyncio
import random

from world import Session, now

ROUTES = [("db-latest", 0.15), ("db-aged", 0.15), ("db-own", 0.7)]
BUDGET_S = 6.0
RETRIES = 2


class Traffic:
    """Sends operations and counts how many are served, by the time at which they were sent."""

    def __init__(self, world, per_s):
        self.world, self.per_s = world, per_s
        self.operations = []  # time sent, whether served, last outcome
        self.tasks = set()
        self.is_running = True

    async def run(self):
        number = 0
        begin = now()
        while self.is_running:
            number += 1
            task = asyncio.create_task(self.operate(number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(max(0.0, begin + number / self.per_s - now()))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=BUDGET_S + 3)

    async def operate(self, number):
        sent_at = now()
        zone = random.choice(self.world.zones)
        database = random.choices([r for r, _ in ROUTES], [w for _, w in ROUTES])[0]
        writes = database != "db-aged" and random.random() < 0.25
        outcome = "none"
        for attempt in range(1 + RETRIES):
            left = sent_at + BUDGET_S - now()
            if left <= 0:
                break
            outcome, may_retry = await self.attempt(zone, database, writes, f"{number}/{attempt}", left)
            if outcome.startswith("COMPLETE"):
                break
            if not may_retry:
                break
            await asyncio.sleep(0.2)
        self.operations.append((sent_at, outcome.startswith("COMPLETE"), outcome))

    async def attempt(self, zone, database, writes, salt, left):
        machine = self.world.choose_machine(zone, salt)
        if machine is None:
            return "no machine", True
        session = Session(self.world, machine)
        is_sent = False
        try:
            await session.open(database)
            item = f"k{random.randrange(2000):x}"
            text = f"WRITE {item} d{random.getrandbits(32):x}" if writes else f"READ {item}"
            is_sent = True
            outcome = await session.run(text, left)
            promises = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY")
            is_promise = outcome.split(" ")[1] in promises if outcome.startswith("ERROR") else False
            return outcome, is_promise or not writes
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.world.record("failed", machine["name"], database, repr(error))
            return repr(error), not (is_sent and writes)
        finally:
            session.close()

    def served(self, begin, end):
        """Returns the number of operations sent in a span of time, and how many of them were served."""
        chosen = [served for at, served, _ in self.operations if begin <= at < end]
        return len(chosen), sum(chosen)

    def outcomes(self, begin, end):
        counts = {}
        for at, _, outcome in self.operations:
            if begin <= at < end:
                key = " ".join(outcome.split(" ")[:2]) if outcome.startswith("ERROR") else outcome.split(" ")[0]
                counts[key] = counts.get(key, 0) + 1
        return counts
