"""Checks the promises of mangohall after a soak run, by what clients and workers have seen."""
import collections
import time

from soak_world import EVACUATION_BOUND_MS

# A start in doubt may bind its task for 14 s after the last fault, and the tasks run for a second.
LAST_END_S = 30
# Usual work is served again by then.
RECOVERY_S = 12


def wait_for_ends(clients, deadline):
    """Asks for the state of each accepted job until all are final or the time is over. Returns those that are not."""
    asker = clients.clients[0]
    waiting = [one for one in clients.submissions if one.accepted_at]
    while waiting and time.monotonic() < deadline:
        waiting = [one for one in waiting if asker.query(one) not in ("completed", "failed", "aborted")]
        time.sleep(0.2)
    return waiting


def check_recovery(clients, last_fault_at):
    """Submits a job after the last fault. Returns what is broken."""
    asker = clients.clients[0]
    while time.monotonic() < last_fault_at + RECOVERY_S:
        asker.submit()
        if asker.submissions[-1].accepted_at:
            return []
    return [f"RECOVER: no job was accepted within {RECOVERY_S} s of the last fault"]


def check_states(clients):
    broken = []
    for one in clients.submissions:
        if one.accepted_at and not one.cancel_sent_at and one.states and one.states[-1] != "completed":
            broken.append(f"LOST: {one.path} is {one.states[-1]} without a cause")
    return broken


def check_runs(clients, report):
    """Compares the jobs' states with the runs that the workers have seen."""
    broken = [f"by the workers: {violation}" for violation in report["violations"]]
    runs = collections.defaultdict(list)
    for run in report["runs"]:
        runs[run["job"]].append(run)
    for one in clients.submissions:
        is_refused = not one.accepted_at and not one.is_unknown
        if is_refused and runs[one.job]:
            broken.append(f"REFUSED: {one.path} ran, and every attempt to submit it was refused")
        done = {run["task"] for run in runs[one.job] if run.get("isDone")}
        needed = 1 if one.is_gang else one.tasks
        if one.states and one.states[-1] == "completed" and len(done) < needed:
            broken.append(f"MIXED: {one.path} is completed, and {len(done)} of {one.tasks} tasks have been done")
    return broken


def check_evacuations(periods, data_centres, runs):
    """Compares the periods of evacuation with the runs that the workers have seen. `data_centres` maps each worker to
    its data centre. A run that its worker began late, from a start without a response, is judged by the time at which
    the start was sent, because no node can call it back."""
    broken = []
    for period in periods:
        bound_ms = period.acknowledged_ms + EVACUATION_BOUND_MS
        for run in runs:
            sent_ms = run.get("delayedSinceMs", run["beganMs"])
            is_there = data_centres[run["worker"]] == period.data_centre
            if is_there and sent_ms > bound_ms and sent_ms < period.withdrawn_ms:
                late_s = (sent_ms - period.acknowledged_ms) / 1000
                broken.append(f"EVACUATED: task {run['task']} of {run['job']}, attempt {run['attempt']}, was started on "
                              f"{run['worker']} {late_s:.3f} s after the request to evacuate {period.data_centre}")
    return broken
