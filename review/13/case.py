"""A job that repeats at a period with a fraction of a millisecond: its late occurrences start before their time."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin_3 import run_case  # noqa: E402

JOB = "00000000000000a1"
OCCURRENCES = 600
EARLY_MS = 250


async def scenario(platform, has_trouble):
    record = platform.record
    await platform.start([f"w{number}" for number in range(3)])
    period_ms = 60.9 if has_trouble else 61
    first_ms = int(time.time() * 1000) + 1000
    platform.demands[JOB, 0] = (10, 10, 0)
    job = {"spec": "20", "startAtMs": first_ms, "periodMs": period_ms, "repeatCount": OCCURRENCES,
           "phases": [{"count": 1, "cpu": 10, "memMb": 10, "estimateMs": 20}]}
    answer = await platform.nodes[0].call("POST", f"/batch/{JOB}", job)
    record.add(f"client: POST batch/{JOB}, {OCCURRENCES} times each {period_ms} ms: {answer}")
    stored = platform.store.value(f"mangohall/jobs/{JOB}/job")
    record.add(f"store: the job has {stored}")
    earliest = 0
    starts = {}
    while len(starts) < OCCURRENCES and time.time() * 1000 < first_ms + OCCURRENCES * period_ms + 5000:
        for worker in platform.workers.values():
            for task, at in worker.starts.items():
                number = int(task.split(".")[1])
                if number in starts:
                    continue
                starts[number] = at
                early = first_ms + number * period_ms - at * 1000
                if early > EARLY_MS and early > earliest + 20:
                    earliest = early
                    record.add(f"ORDER: occurrence {number} starts {early:.0f} ms before its time")
        await asyncio.sleep(0.05)
    record.add(f"{len(starts)} occurrences started")
    return earliest > 0


run_case(__file__, scenario)
