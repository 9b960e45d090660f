"""Case 6: machines are replaced in turn; then all processes are killed and start again."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))

from traffic import Traffic  # noqa: E402
from world import now, run_case  # noqa: E402

MACHINES_PER_ZONE = 4
# Each machine of the deployment is replaced this often, one machine at a time.
ROUNDS = 3
REPLACEMENT_GAP_S = 1.1
RECOVERY_S = 12.0
MEASURED_S = 10.0


async def play(world, trouble):
    await world.start()
    numbers = {zone: 0 for zone in world.zones}
    present = {zone: [] for zone in world.zones}

    async def add(zone, bootstrap):
        numbers[zone] += 1
        name = f"front-{zone}-{numbers[zone]}"
        ip = f"127.{world.zones.index(zone) + 1}.0.{numbers[zone] + 2}"
        await world.add_machine(name, zone, ip, bootstrap)
        present[zone].append(name)
        return name

    for zone in world.zones:
        for _ in range(MACHINES_PER_ZONE):
            await add(zone, True)
    world.tasks.append(asyncio.create_task(world.probe_machines()))
    await asyncio.sleep(8)
    traffic = Traffic(world, 30)
    running = asyncio.create_task(traffic.run())
    begin = now()
    await asyncio.sleep(4)

    async def replace(zone):
        """The new machine first, then SIGTERM; SIGKILL after graceS."""
        await add(zone, False)
        await asyncio.sleep(1.0)
        old = present[zone].pop(0)
        world.signal_machine(old, signal.SIGTERM)
        process = world.machines[old]["process"]
        for _ in range(60):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        world.remove_machine(old)

    replacing = []
    for _ in range(ROUNDS * MACHINES_PER_ZONE if trouble else 0):
        for zone in world.zones:
            replacing.append(asyncio.create_task(replace(zone)))
            await asyncio.sleep(REPLACEMENT_GAP_S)
    await asyncio.gather(*replacing)
    records = len(world.store.kinds.get("tamarackbend-nodes", {}))
    world.record.say("machines", len(world.machines), "records of machines in the store", records)
    await asyncio.sleep(2 if trouble else 10)

    final = now()
    for name in list(world.machines):
        world.signal_machine(name, signal.SIGKILL)
    for machine in world.machines.values():
        machine["process"].wait()
    await asyncio.sleep(1.0)
    for name in world.machines:
        world.start_machine(name)
    back = now()
    world.record.say("all processes were killed; all machines are back after 1 s")
    await asyncio.sleep(RECOVERY_S + MEASURED_S)
    end = now()
    traffic.is_running = False
    await running
    before, after = traffic.served(begin, final), traffic.served(back + RECOVERY_S, end)
    world.record.say("before the final fault: sent %d, served %d" % before)
    world.record.say("later than recoveryS after the machines are back: sent %d, served %d" % after)
    world.record.say("outcomes then:", traffic.outcomes(back + RECOVERY_S, end))
    ready = sum(machine["in_rotation"] for machine in world.machines.values())
    world.record.say("machines that report that they are ready:", ready, "of", len(world.machines))
    if before[0] == 0 or before[1] * 4 < before[0] or after[0] == 0:
        return 2
    return 1 if after[1] * 4 < after[0] else 0


sys.exit(run_case(HERE, play, ("alder-a", "birch-a", "cedar-a"), "RECOVER"))
