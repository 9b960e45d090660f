"""Case 8: the primary is cut off from two machines, again and again; the others still reach it."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

from world import Session, now, run_case  # noqa: E402

MACHINES = (6, 6, 2)
ROUNDS = 10
CUT_S = 4.0
PAUSE_S = 3.5


async def keep_working(world, machine, transactions, until):
    """A session on the primary route that writes, alone or in short transactions."""
    while now() < until():
        session = Session(world, world.machines[machine])
        try:
            await session.open("db-latest")
            while now() < until():
                write = f"WRITE k{random.randrange(2000):x} d{random.getrandbits(24):x}"
                if transactions:
                    await session.run("BEGIN", 6.0)
                    outcome = await session.run(write, 6.0)
                    if outcome.startswith("COMPLETE"):
                        await asyncio.sleep(random.uniform(0.1, 0.9))
                        await session.run("COMMIT", 6.0)
                    else:
                        await session.run("ROLLBACK", 6.0)
                else:
                    await session.run(write, 6.0)
                await asyncio.sleep(random.uniform(0.05, 0.2))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def keep_reading(world, machine, per_s, until):
    """A session that reads from any backend."""
    while now() < until():
        session = Session(world, world.machines[machine])
        try:
            await session.open("db-aged")
            while now() < until():
                await session.run(f"READ k{random.randrange(2000):x}", 6.0)
                await asyncio.sleep(random.uniform(0.5, 1.5) / per_s)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)
        finally:
            session.close()


async def play(world, trouble):
    # Two slots a backend, as on the sheet, and reads that keep most of them busy.
    world.slots, world.work_s, world.read_work_s = 2, 0.010, 0.010
    await world.start()
    names = {}
    for index, (zone, count) in enumerate(zip(world.zones, MACHINES)):
        names[zone] = []
        for number in range(1, count + 1):
            name = f"front-{zone}-{number}"
            await world.add_machine(name, zone, f"127.{index + 1}.0.{number + 2}", True)
            names[zone].append(name)
    world.tasks.append(asyncio.create_task(world.probe_machines()))
    await asyncio.sleep(8)
    if sum(machine["in_rotation"] for machine in world.machines.values()) < sum(MACHINES):
        return 2
    end = [now() + 1e9]
    tasks = [asyncio.create_task(keep_working(world, name, number % 3 > 0, lambda: end[0]))
             for zone in world.zones for name in names[zone] for number in range(6)]
    tasks += [asyncio.create_task(keep_reading(world, name, 11, lambda: end[0]))
              for zone in world.zones for name in names[zone] for _ in range(3)]
    await asyncio.sleep(4)
    for _ in range(ROUNDS):
        while not any(backend.role == "primary" for backend in world.backends):
            await asyncio.sleep(0.05)
        primary = max((b for b in world.backends if b.role == "primary"), key=lambda b: b.term)
        if trouble:
            for name in names[world.zones[2]]:
                world.cuts.add((name, primary.name))
            world.record.say("cut", names[world.zones[2]], "from", primary.name)
        await asyncio.sleep(CUT_S)
        world.cuts.clear()
        await asyncio.sleep(PAUSE_S)
    end[0] = now()
    await asyncio.wait(tasks, timeout=8)
    # Commits that a machine on a cut link sent are not counted.
    late = [finding for finding in world.findings if finding[0] == "ONE" and len(finding) == 6
            and finding[4] not in names[world.zones[2]]]
    for _, request, backend, newer, machine, at in late[:30]:
        world.record.say(f"ONE {at - world.record.start:.3f} s: {request}, sent by {machine}, was committed at "
                         f"{backend} while {newer} led a later term, and acknowledged")
    world.record.say("commits at an old primary that were acknowledged:", len(late))
    if not world.acknowledged:
        return 2
    return 1 if late else 0


sys.exit(run_case(HERE, play, ("alder-a", "birch-a", "cedar-a"), "ONE"))
