"""Two members of one gang fail in the same attempt, each on a worker that fails all that it starts."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_standin import route, run_scenario  # noqa: E402

MAX_ATTEMPTS = 2
CAPACITY = {"cpu": 128000, "memMb": 262144, "gpu": 8}
JOB_ID = "00000000000000a1"


async def scenario(platform, trouble):
    workers = [(f"worker-{number}", CAPACITY, ["a", "rack-0"]) for number in range(24)]
    await platform.start(workers, [route("urgent", 0, MAX_ATTEMPTS)])
    # Two workers are free, the others are in use: the gang of two can only start there.
    busy = {"spec": "busy", "phases": [{"count": 22, "cpu": 15000, "memMb": 22000, "gpu": 8, "estimateMs": 60000}]}
    platform.work_by_spec["busy"] = 25.0
    assert (await platform.submit(0, "/urgent/", "00000000000000b1", busy))[0] == 200
    await asyncio.sleep(1.5)
    used = {start[1] for start in platform.starts}
    free = [worker for name, worker in platform.workers.items() if name not in used]
    assert len(free) == 2, free
    if trouble:
        for worker in free:
            worker.fails_after_s = 0.2
            platform.record.write("disruption: worker", worker.name, "fails all that it starts, for 6.5 s")

    async def recover():
        await asyncio.sleep(6.5)
        for worker in free:
            worker.fails_after_s = None
            platform.record.write("worker", worker.name, "works again")

    recovery = asyncio.ensure_future(recover())
    gang = {"spec": "gang", "phases": [{"count": 2, "cpu": 15000, "memMb": 22000, "gpu": 8, "estimateMs": 1000,
                                        "gang": True}]}
    assert (await platform.submit(1, "/urgent/", JOB_ID, gang))[0] == 200
    state = ""
    for _ in range(100):
        await asyncio.sleep(0.3)
        answer = await platform.request(2, "GET", "/urgent/" + JOB_ID)
        state = answer[1] if answer else state
        if "failed" in state or "completed" in state:
            break
    await recovery
    failed = sorted({end[3] for end in platform.ends if end[2].startswith(JOB_ID) and end[4] == "failed"})
    platform.record.write("attempts of the gang that ended failed:", failed, "of", MAX_ATTEMPTS, "- state:", state)
    if "failed" in state and len(failed) < MAX_ATTEMPTS:
        return f"the job is shown as failed after {len(failed)} failed attempt(s) of its gang; maxAttempts is {MAX_ATTEMPTS}"
    return None


run_scenario(scenario)
