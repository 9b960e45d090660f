"""A client writes data that contains a line feed, which is no end of a message.

A message ends with CR LF. Without the trouble, the data contain a blank in the place of the line feed.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))
from standin import Client, Node, Platform, run_case


async def case(record, directory, trouble, nodes):
    platform = await Platform(record).start()
    platform.configure([("search", "primary", "leases")])
    for number in range(3):
        nodes.append(Node(platform, f"front-a-{number}", directory, contracts=("base", "sql", "platform")))
    for node in nodes:
        node.start()
    for node in nodes:
        if not await node.wait_ready():
            raise RuntimeError(f"{node.name} is not ready")
    await asyncio.sleep(1)
    sent = []
    for number, node in enumerate(nodes):
        client = Client(record, f"c{number}")
        if await client.open(node, "search") != "READY I -":
            raise RuntimeError("session was refused")
        separator = "\n" if trouble else " "
        sent.append((f"q{number}", f"WRITE note-{number} first line{separator}QUERY inner{number} WRITE note-{number} forged"))
        await client.query(*sent[-1])
        while await client.read_message(1) is not None:
            pass
        client.close()
    unasked = [(id, text) for id, text, _, _ in platform.runs if (id, text) not in sent]
    if unasked:
        id, text = unasked[-1]
        return (f"UNASKED: {len(unasked)} statements ran that no client sent, the last with id {id}: {text!r}")
    return None


sys.exit(run_case(FOLDER, case))
