"""The nodes are restarted gracefully in turn while a task runs whose first run fails by its own fault."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standin_2 as standin

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NODES = 4
# The pause between two stops, as in the site file's roll_term of all machines.
GAP_S = 2.0
FINISH_S = 14
STANDSTILL_S = 3


def roll(deployment):
    """Restarts every node once, one each GAP_S, first the one that gave the last orders."""
    left = list(deployment.nodes)
    threads = []
    while left:
        owner = deployment.owner()
        node = owner if owner in left else left[0]
        left.remove(node)
        threads.append(threading.Thread(target=node.restart_gracefully))
        threads[-1].start()
        time.sleep(GAP_S)
    for thread in threads:
        thread.join()


def play(deployment):
    for number in range(4):
        deployment.add_worker(f"i-7f3a91c{number}", f"r1-{number // 2 + 1}")
    if not deployment.start():
        return 2
    job = deployment.submit("batch", [{"count": 1, "cpu": 11000, "memMb": 23000, "gpu": 1, "estimateMs": 2000}],
                            "run=2 fails-first")
    ended_at = time.monotonic()
    deployment.record.line(f"end of the traffic; the job is asked for {FINISH_S} s later")
    if job is None or not deployment.wait(5, lambda: deployment.running(job)):
        return 2
    rolling = threading.Thread(target=roll, args=(deployment,))
    if TROUBLE:
        time.sleep(0.1)
        rolling.start()
    time.sleep(ended_at + FINISH_S - time.monotonic())
    states = set()
    has_run = False
    most_in_use = 0
    end = time.monotonic() + STANDSTILL_S
    next_look = 0.0
    while time.monotonic() < end:
        has_run = has_run or bool(deployment.running(job))
        most_in_use = max(most_in_use, sum(len(worker.runs) for worker in deployment.workers))
        if time.monotonic() >= next_look:
            states.add(deployment.state(job))
            next_look = time.monotonic() + 1
        time.sleep(0.02)
    if TROUBLE:
        rolling.join()
    runs = deployment.started(job)
    is_broken = states <= {"pending", "active"} and not has_run and most_in_use == 0
    deployment.record.line(f"{job} was {sorted(states)} and {'ran' if has_run else 'had nothing running'} for "
                           f"{STANDSTILL_S} s on four idle workers; it had {len(runs)} runs until then")
    deployment.wait(20, lambda: deployment.state(job) == "completed", 2)
    return 1 if is_broken else 0


def main():
    deployment = standin.Deployment(os.path.dirname(os.path.abspath(__file__)), NODES)
    code = 2
    try:
        code = play(deployment)
    finally:
        deployment.end()
    deployment.record.line({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    return code


sys.exit(main())
