"""One accepted job of many tasks, whose progress record outgrows the store's largest value, beside jobs of others."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LARGE_TASKS = 20000 if TROUBLE else 200
FINISH_S = 14
STANDSTILL_S = 3


def play(deployment):
    for number in range(4):
        deployment.add_worker(f"i-7f3a91c{number}", f"r1-{number // 2 + 1}")
    if not deployment.start():
        return 2
    small = [{"count": 2, "cpu": 1000, "memMb": 100, "gpu": 1, "estimateMs": 1000}]
    first = deployment.submit("batch", small)
    if first is None or not deployment.wait(10, lambda: deployment.state(first) == "completed", 0.5):
        return 2
    large = deployment.submit("bulk", [{"count": LARGE_TASKS, "cpu": 10, "memMb": 10, "estimateMs": 1000}])
    if large is None:
        deployment.record.line("the large job was not accepted, so it promises nothing")
        return 0
    time.sleep(2)
    others = [deployment.submit(queue, small) for queue in ("batch", "urgent", "bulk", "batch", "urgent", "bulk")]
    deployment.record.line(f"end of the traffic; jobs are asked for {FINISH_S} s later")
    time.sleep(FINISH_S)
    accepted = [job for job in [large, *others] if job is not None]
    states = {job: deployment.state(job) for job in accepted}
    waiting = [job for job in accepted if states[job] in ("pending", "active")]
    ran = set()
    in_use = 0
    end = time.monotonic() + STANDSTILL_S
    while time.monotonic() < end:
        ran |= {job for job in waiting if deployment.running(job)}
        in_use = max(in_use, sum(len(worker.runs) for worker in deployment.workers))
        time.sleep(0.02)
    # All tasks that run at once take less than half of each resource if there are fewer of them than this.
    is_half_free = in_use < 8
    broken = [job for job in waiting if job not in ran and is_half_free]
    for job in broken:
        deployment.record.line(f"LOST: {job} is {states[job]}, {len(deployment.started(job))} of its tasks have started, "
                               f"none ran for {STANDSTILL_S} s, and {in_use} tasks ran in all")
    deployment.record.line(f"{len(broken)} of {len(accepted)} accepted jobs stand still")
    return 1 if broken else 0


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
