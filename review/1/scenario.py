"""A worker restarts under its id. The owner's next poll acknowledges an end of the earlier process to the new one."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from platform_standin import HEARTBEAT_MS, route, run_scenario  # noqa: E402

CAPACITY = {"cpu": 128000, "memMb": 262144, "gpu": 8}
JOB_ID = "00000000000000a1"


def one_task(spec, gpu, label="b"):
    return {"spec": spec, "phases": [{"count": 1, "cpu": 1000, "memMb": 1000, "gpu": gpu, "estimateMs": 1000,
                                      "constraints": label}]}


async def scenario(platform, trouble):
    workers = [(f"worker-{number}", CAPACITY, ["a", "rack-0"]) for number in range(5)]
    workers += [("worker-5", CAPACITY, ["b", "rack-0"])]
    await platform.start(workers, [route("urgent", 0, 2), route("batch", 1, 4)])
    worker = platform.workers["worker-5"]
    platform.work_by_spec.update({"long": 9.0, "first": 1.0, "short": 0.3})
    assert (await platform.submit(0, "/batch/", "00000000000000b1", one_task("long", 2)))[0] == 200
    assert (await platform.submit(0, "/batch/", "00000000000000b2", one_task("first", 2)))[0] == 200
    while not any(end[4] == "done" for end in platform.ends):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.1)
    if trouble:
        platform.record.write("disruption: worker-5 loses power and starts again under its id")
        await worker.crash(power=True)
        await asyncio.sleep(0.2)
        await worker.start(first_beat_s=HEARTBEAT_MS / 1000 * 0.9)
    assert (await platform.submit(1, "/batch/", JOB_ID, one_task("short", 2)))[0] == 200
    await asyncio.sleep(20.0)
    await platform.request(2, "GET", "/batch/" + JOB_ID)
    task = JOB_ID + ".0.0.0"
    done = [end for end in platform.ends if end[2] == task and end[4] == "done"]
    # Taken note of: `ackSeq` has reached the end. The lease of 10 s from the start on has not lapsed before.
    noted = [end for end in platform.acknowledged if end[2] == task and end[4] == "done" and end[0] - done[0][0] < 5]
    again = [start for start in platform.starts if noted and start[2] == task and start[0] > done[0][0]]
    if again:
        return (f"{task} attempt {done[0][3]} ended done on {done[0][1]} at {done[0][0]:.3f} s, was acknowledged at "
                f"{noted[0][0]:.3f} s, and attempt {again[0][3]} was started on {again[0][1]} at {again[0][0]:.3f} s")
    return None


run_scenario(scenario)
