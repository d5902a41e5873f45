"""A job that needs one kind of worker waits beside urgent work that runs on workers of another kind."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FINISH_S = 14
STANDSTILL_S = 3
# 8 s of work, three times as long (remoteFactor) since the rack of its data has no worker.
URGENT_RUN_S = 24
GPUS_OF_WORKER = 8


def play(deployment):
    for number in range(3):
        deployment.add_worker(f"i-7f3a91c{number}", "r1-1", kind="a")
    for number in range(3, 5):
        deployment.add_worker(f"i-7f3a91c{number}", "r1-2", kind="b")
    if not deployment.start():
        return 2
    if TROUBLE:
        urgent = deployment.submit("urgent", [{"count": 2, "cpu": 15000, "memMb": 22000, "gpu": GPUS_OF_WORKER,
                                               "estimateMs": 8000, "affinity": "r1-3", "constraints": "a"}],
                                   f"run={URGENT_RUN_S}")
        if urgent is None or not deployment.wait(10, lambda: len(deployment.running(urgent)) == 2):
            return 2
        time.sleep(1)
    job = deployment.submit("batch", [{"count": 1, "cpu": 11000, "memMb": 22000, "gpu": 1, "estimateMs": 1000,
                                       "constraints": "b"}])
    if job is None:
        return 2
    deployment.record.line(f"end of the traffic; the job is asked for {FINISH_S} s later")
    time.sleep(FINISH_S)
    state = deployment.state(job)
    has_run = bool(deployment.running(job))
    most_in_use = 0
    end = time.monotonic() + STANDSTILL_S
    while time.monotonic() < end:
        has_run = has_run or bool(deployment.running(job))
        most_in_use = max(most_in_use, sum(len(worker.runs) for worker in deployment.workers if "a" in worker.labels))
        time.sleep(0.02)
    share = most_in_use * GPUS_OF_WORKER / (len(deployment.workers) * GPUS_OF_WORKER)
    is_broken = state in ("pending", "active") and not has_run and share < 0.5
    deployment.record.line(f"{job} is {state}, its task has {'' if has_run else 'not '}run; both workers of kind b are "
                           f"free with 16 GPUs, it needs 1; {share:.0%} of all GPUs are in use")
    return 1 if is_broken else 0


def main():
    deployment = standin.Deployment(os.path.dirname(os.path.abspath(__file__)))
    code = 2
    try:
        code = play(deployment)
    finally:
        deployment.end()
    deployment.record.line({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code


sys.exit(main())
