"""A worker leaves as planned while the owner is killed: the task that ran there is not started again in time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin_3 import FINISH_S, run_case  # noqa: E402

JOB = "00000000000000a1"
TASK_MS = 9000
IDLE_S = 3


async def scenario(platform, has_trouble):
    record = platform.record
    # Workers of the old release, and the first of the new one, to which the job is bound by its label.
    await platform.start([f"old-{number}" for number in range(4)])
    leaving = await platform.add_worker("new-0", kind="kind-2")
    await asyncio.sleep(2)
    owner = platform.owner()
    other = (owner + 1) % 3
    step = {"count": 1, "cpu": 52000, "memMb": 1000, "gpu": 2, "estimateMs": TASK_MS, "constraints": "kind-2"}
    await platform.submit(other, JOB, step, TASK_MS)
    await platform.wait_for(lambda: platform.runs_of(JOB), 10, "the task runs")
    # The rollout goes on: more workers of the new release come and stay, with room for the job many times over.
    for number in range(1, 4):
        await platform.add_worker(f"new-{number}", kind="kind-2")
    await asyncio.sleep(1)
    # One worker is taken away as planned.
    await leaving.drain()
    await asyncio.sleep(0.1)
    if has_trouble:
        platform.nodes[owner].kill()
        record.add(f"node-{owner}, which is the owner, is killed")
    await asyncio.sleep(2.45)
    await leaving.leave()
    ended = record.now()
    await asyncio.sleep(3.5 - 2.45)
    if has_trouble:
        platform.nodes[owner].start()
        record.add(f"node-{owner} is started again")
    # Counted from the last disturbance, which is later than the end of the traffic.
    judged_from = ended + FINISH_S
    idle_since = None
    is_broken = False
    while record.now() < ended + 45:
        await asyncio.sleep(0.05)
        if await platform.state(other, JOB) == "completed":
            break
        now = record.now()
        if platform.runs_of(JOB):
            idle_since = None
        elif idle_since is None:
            idle_since = now
        elif now >= judged_from + IDLE_S and now - max(idle_since, judged_from) >= IDLE_S and not is_broken:
            is_broken = True
            record.add(f"LOST: {JOB} has had nothing running since {idle_since:.3f}, and three workers are idle")
    record.add(f"client: the job is {await platform.state(other, JOB)}")
    return is_broken


run_case(__file__, scenario)
