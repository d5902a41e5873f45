"""Two answers of the store are lost and the owner is killed: the next owner starts a withdrawn placement as well."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin_3 import run_case  # noqa: E402

WITHDRAWN = "00000000000000a1"
TWO_STEPS = "00000000000000b1"
URGENT = "00000000000000c1"
TASK_MS = 12000
SMALL = {"count": 1, "cpu": 100, "memMb": 10, "estimateMs": TASK_MS, "constraints": "kind-2"}


def large(cpu):
    return {"count": 1, "cpu": cpu, "memMb": 10, "estimateMs": TASK_MS, "constraints": "kind-1"}


async def scenario(platform, has_trouble):
    record = platform.record
    await platform.start([])
    # One worker has the label that the large tasks need; the other takes the small ones.
    large_worker = await platform.add_worker("large")
    await platform.add_worker("small", kind="kind-2")
    await asyncio.sleep(2)
    owner = platform.owner()
    other = (owner + 1) % 3
    lost = []

    def lose_progress(node, method, path, query, body):
        writes = [row["key"] for row in body.get("write", [])] if path == "/v1/kv-txn" else []
        if node != owner or not any(key.startswith("mangohall/progress/") for key in writes):
            return None
        lost.append(len(writes))
        record.add(f"store: does a write of node-{owner} of {len(writes)} items and doesn't answer")
        return "lose"

    if has_trouble:
        platform.store.disturb = lose_progress
    # A job with a due time is not counted as waiting, so that the first write has nothing but its progress.
    due = {"startAtMs": int(time.time() * 1000) - 1000}
    await platform.submit(other, WITHDRAWN, large(128000), TASK_MS, fields=due)
    await asyncio.sleep(0.05)
    # A job with a small task that starts and a large one that has to wait for room.
    await platform.submit(other, TWO_STEPS, SMALL, TASK_MS, extra=[large(60000)])
    for number in range(14):
        await platform.submit(other, f"00000000000001{number:02x}", SMALL, TASK_MS)
    await platform.submit(other, URGENT, large(60000), TASK_MS, queue="urgent")
    if has_trouble:
        await platform.wait_for(lambda: len(lost) == 2, 5, "two lost answers")
        await asyncio.sleep(0.3)
        platform.nodes[owner].kill()
        record.add(f"node-{owner}, which is the owner, is killed")
        platform.store.disturb = lambda *call: None
    await asyncio.sleep(20)
    return bool(large_worker.over_capacity)


run_case(__file__, scenario)
