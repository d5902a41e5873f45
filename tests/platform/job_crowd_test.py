"""Sends a crowd of uncontrolled clients to nodes: job_crowd_test.py NODE STANDIN CASE

Guards against a node that runs out of memory or descriptors, or falls silent, because of complete jobs that it accepts
or handles, and because of connections without a complete request. The bounds follow from the settings: the memory of
the process together with what its connections have received and it has not read, and the open files. Exits 0 if every
node lives and stays within the bounds, ordinary requests are answered while the crowd is there and afterwards, what
was accepted is shown, and what was refused is not.
"""
import concurrent.futures
import contextlib
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time

import crowd_test as base

# The smallest machine of the deployments, and a smaller one for crowds that need not be large.
SMALLEST = {"memoryMb": 120, "openFiles": 3075}
SMALL = {"memoryMb": 64, "openFiles": 512}
MANY_STEPS = 2500
# Jobs of many steps: more than fit into the memory of the smallest machine in any form that keeps a step's fields.
LARGE_JOBS = 300
LARGE_JOBS_AT_A_TIME = 4
# Jobs of few bytes and many tasks.
WIDE_JOBS = 60
WIDE_TASKS = 9800
WIDE_OCCURRENCES = 10
# More than the connections that the smallest machine admits, at most 2,500.
HEAD_CLIENTS = 1500
# More connections than the small machine has, each with a whole job of many steps.
SILENT_STORE_CLIENTS = 450
# The callers' deadline, so that a crowd that waits for a silent store is answered.
DEADLINE_MS = 3000
ROUNDS = 4
ROUND_CLIENTS = 300
ACCEPTED, REFUSED = (200,), (429, 503)


def large_job(steps=MANY_STEPS):
    """A job whose steps never run: no worker has the memory."""
    step = '{"count":1,"cpu":1000,"memMb":9000000,"gpu":1,"estimateMs":60000}'
    return '{"spec":"large","phases":[' + ",".join([step] * steps) + "]}"


def wide_job():
    return json.dumps({"spec": "wide", "repeatCount": WIDE_OCCURRENCES, "startAtMs": 1, "periodMs": 1,
                       "phases": [{"count": WIDE_TASKS, "cpu": 1000, "memMb": 9000000, "estimateMs": 60000}]})


class Platform:
    """The stand-in of the platform."""

    def __init__(self, stack, standin):
        self.process = stack.enter_context(
            base.running([standin, "0", "1"], stdin=subprocess.PIPE, stdout=subprocess.PIPE))
        self.port = json.loads(self.process.stdout.readline())["port"]

    def command(self, **fields):
        self.process.stdin.write((json.dumps(fields) + "\n").encode())
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def has_started(self, job):
        return any(run["job"] == f"{job:016x}" for run in self.command(do="report")["runs"])


class Machine(base.Node):
    """A node on a platform that others may share."""

    # pylint: disable=super-init-not-called
    def __init__(self, stack, program, platform, name, limits):
        self.limits = limits
        self.callers, self.readiness, self.metrics = (base.free_port() for _ in range(3))
        settings = {"node": name, "dataCentre": "zone", "callers": f"127.0.0.1:{self.callers}",
                    "readiness": f"127.0.0.1:{self.readiness}", "metrics": f"127.0.0.1:{self.metrics}",
                    "store": f"127.0.0.1:{platform.port}", **limits}
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = os.path.join(folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.log = os.path.join(folder, "log")
        output = stack.enter_context(open(self.log, "wb"))
        self.process = stack.enter_context(base.running([program, "--settings", path], stdout=output))
        self.unread, self.files, self.is_sampling = 0, 0, True
        self.sampler = threading.Thread(target=self.sample)
        self.sampler.start()
        stack.callback(self.stop_sampling)
        base.wait_until(self.is_ready, "the node is ready")

    def stop_sampling(self):
        self.is_sampling = False
        self.sampler.join()

    def sample(self):
        """Keeps the most that was unread and open."""
        while self.is_sampling and self.lives():
            self.unread = max(self.unread, self.unread_bytes())
            with contextlib.suppress(OSError):
                self.files = max(self.files, self.open_files())
            time.sleep(0.05)

    def request(self, method, job, body=None, deadline_ms=DEADLINE_MS):
        """The status of the response; 0 if the connection is closed without one."""
        connection = http.client.HTTPConnection("127.0.0.1", self.callers, timeout=base.TIMEOUT_S)
        headers = {"Host": "desk.example", "Authorization": "Bearer key-large",
                   "Mangohall-Deadline-Ms": str(deadline_ms)}
        try:
            connection.request(method, f"/batch/{job:016x}", body, headers)
            return connection.getresponse().status
        except (http.client.HTTPException, OSError):
            return 0
        finally:
            connection.close()

    def final_status(self, method, job, body=None):
        """The status once the response is not the request to try again, as ordinary callers do for a while."""
        end = time.monotonic() + base.TIMEOUT_S
        while True:
            status = self.request(method, job, body)
            if status not in (0, 502, 504) + REFUSED or time.monotonic() > end or not self.lives():
                return status
            time.sleep(0.2)

    def owns(self):
        with open(self.log, encoding="utf-8") as lines:
            events = [json.loads(line)["event"] for line in lines if "ownership" in line and line.endswith("\n")]
        return bool(events) and events[-1] == "ownershipTaken"

    def metric(self, name):
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics, timeout=base.TIMEOUT_S)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        return next(float(line.split()[-1]) for line in text.splitlines() if line.startswith(name + " "))

    def faults(self, label):
        if not self.lives():
            return [f"{label}: the node has ended"]
        memory = self.peak_memory_kb() + (self.unread >> 10)
        bound = self.limits["memoryMb"] << 10
        print(f"{label}: peak memory {memory} kB of {bound}, {self.unread >> 10} kB of it unread; "
              f"open files {self.files} of {self.limits['openFiles']}")
        found = []
        if memory > bound:
            found.append(f"{label}: the peak memory exceeds that of the machine")
        if self.files > self.limits["openFiles"]:
            found.append(f"{label}: more files are open than the process may have")
        return found


def submit_all(machine, jobs, body, at_a_time):
    """Submits the jobs and returns the status of each."""
    with concurrent.futures.ThreadPoolExecutor(at_a_time) as callers:
        return dict(zip(jobs, callers.map(lambda job: machine.request("POST", job, body), jobs)))


def check_shown(machine, statuses):
    """Whether the jobs that were accepted are shown, and those that were refused are not."""
    faults = []
    for job, status in statuses.items():
        if status not in ACCEPTED + REFUSED:
            continue
        shown = machine.final_status("GET", job)
        if shown != (200 if status in ACCEPTED else 410):
            faults.append(f"job {job:x} was answered with {status} and is shown with {shown}")
    return faults[:5]


def check_ordinary(machine, statuses, when, job):
    """Whether ordinary requests are answered: a new job, a known one, a query and a cancellation."""
    faults = []
    known = next((job for job, status in statuses.items() if status in ACCEPTED), None)
    if machine.final_status("POST", job, base.JOB) != 200:
        faults.append(f"{when}: an ordinary job is not accepted")
    if machine.final_status("POST", job, base.JOB) != 200:
        faults.append(f"{when}: an accepted job is not known")
    if known is not None and machine.final_status("GET", known) != 200:
        faults.append(f"{when}: an accepted job is not shown")
    if known is not None and machine.final_status("DELETE", known) != 200:
        faults.append(f"{when}: an accepted job is not cancelled")
    return faults


def one_machine(stack, programs, limits):
    platform = Platform(stack, programs[1])
    machine = Machine(stack, programs[0], platform, "node-0", limits)
    base.wait_until(machine.owns, "the node is the owner")
    return platform, machine


def accepted_jobs(stack, programs, jobs, body):
    """(a) Complete, valid jobs that need more memory than the machine has."""
    _, machine = one_machine(stack, programs, SMALLEST)
    statuses = submit_all(machine, range(1, jobs + 1), body, LARGE_JOBS_AT_A_TIME)
    if not machine.lives():
        return ["the node has ended"]
    print(f"accepted {sum(status == 200 for status in statuses.values())} of {jobs}")
    faults = check_ordinary(machine, statuses, "after the crowd", 0xabc)
    return faults + check_shown(machine, {k: v for k, v in statuses.items() if k % 7 == 0}) + machine.faults("node")


def replaced_owner(stack, programs):
    """(b) The same, sent to another node than the owner, and then the owner is replaced by that one."""
    platform, owner = one_machine(stack, programs, SMALLEST)
    other = Machine(stack, programs[0], platform, "node-1", SMALLEST)
    statuses = submit_all(other, range(1, LARGE_JOBS + 1), large_job(), LARGE_JOBS_AT_A_TIME)
    print(f"accepted {sum(status == 200 for status in statuses.values())} of {LARGE_JOBS}")
    faults = owner.faults("owner")
    owner.process.kill()
    base.wait_until(lambda: other.owns() or not other.lives(), "the other node is the owner")
    if other.lives():
        faults += check_ordinary(other, {}, "at the new owner", 0xabc)
        # The new owner has read the jobs once it has started the ordinary one.
        base.wait_until(lambda: not other.lives() or platform.has_started(0xabc),
                        "the ordinary job is started")
        faults += check_shown(other, statuses)
    return faults + other.faults("new owner")


def unfinished_heads(stack, programs):
    """(c) Heads that do not end, on every connection."""
    _, machine = one_machine(stack, programs, SMALLEST)
    with contextlib.ExitStack() as crowd:
        for number in range(HEAD_CLIENTS):
            # Some send nothing, most a part of a head.
            part = b"" if number % 5 == 0 else b"POST /batch/1 HTTP/1.1\r\nHost: desk"
            base.send_unless_closed(base.connect(crowd, machine.callers), part)
        machine.wait_for_accepts()
        faults = []
        for job in range(12):
            if machine.request("POST", 0xabc0 + job, base.JOB) != 200:
                faults.append("while the heads are there: an ordinary job is not accepted")
                break
    return faults + check_ordinary(machine, {}, "after the heads", 0xabd) + machine.faults("node")


def send_whole(crowd, machine, jobs, body):
    clients = []
    for job in jobs:
        client = base.connect(crowd, machine.callers)
        clients.append(client)
        base.send_unless_closed(client, base.head(job, base.announced(len(body))) + body)
    return clients


def silent_store(stack, programs):
    """(f) Whole bodies while the store is silent."""
    platform, machine = one_machine(stack, programs, SMALL)
    body = large_job().encode()
    platform.command(do="storeOut", on=True, silent=True)
    with contextlib.ExitStack() as crowd:
        with concurrent.futures.ThreadPoolExecutor(50) as senders:
            shares = [range(1 + start, SILENT_STORE_CLIENTS + 1, 50) for start in range(50)]
            list(senders.map(lambda share: send_whole(crowd, machine, share, body), shares))
        machine.wait_for_accepts()
        if not machine.lives():
            return ["the node has ended"]
        # An answer of any kind: nothing can be accepted while the store is silent.
        faults = [] if machine.request("GET", 0xabc) != 0 else ["while the store is silent: no answer"]
        platform.command(do="storeOut", on=False, silent=False)
        faults += check_ordinary(machine, {}, "while the crowd is there", 0xabc)
    return faults + check_ordinary(machine, {}, "after the crowd", 0xabd) + machine.faults("node")


def all_at_once(stack, programs):
    """(d) Each kind of crowd at once."""
    _, machine = one_machine(stack, programs, SMALLEST)
    body = large_job()
    with contextlib.ExitStack() as crowd:
        with concurrent.futures.ThreadPoolExecutor(LARGE_JOBS_AT_A_TIME + 1) as callers:
            jobs = range(1, LARGE_JOBS // 2 + 1)
            statuses = callers.submit(submit_all, machine, jobs, body, LARGE_JOBS_AT_A_TIME)
            for number in range(HEAD_CLIENTS):
                client = base.connect(crowd, machine.callers)
                kind = number % 5
                if kind == 0:
                    base.send_unless_closed(client, b"POST /batch/1 HTTP/1.1\r\nHost: desk")
                elif kind == 1:
                    base.send_unless_closed(client, base.head(0xf000 + number, base.announced(base.MAX_BODY_BYTES)))
                    base.send_unless_closed(client, base.ONE_SHORT[:65536])
                elif kind == 2:
                    base.send_unless_closed(client, base.head(0xf000 + number, base.CHUNKED))
                    base.send_unless_closed(client, base.chunked(4096, 8))
                elif kind == 3:
                    base.send_unless_closed(client, base.head(0xf000 + number, base.announced(64 << 20)))
            statuses = statuses.result()
        machine.wait_for_accepts()
        if not machine.lives():
            return ["the node has ended"]
        faults = check_ordinary(machine, statuses, "while the crowd is there", 0xabc)
    return faults + check_ordinary(machine, statuses, "after the crowd", 0xabd) + machine.faults("node")


def crowds_again(stack, programs):
    """(g) Crowds that close and come again; in the end the counts are zero."""
    _, machine = one_machine(stack, programs, SMALL)
    for round_number in range(ROUNDS):
        with contextlib.ExitStack() as crowd:
            for number in range(ROUND_CLIENTS):
                client = base.connect(crowd, machine.callers)
                if number % 3 == 0:
                    base.send_unless_closed(client, b"GET /batch/1 HTTP/1.1\r\n")
                elif number % 3 == 1:
                    base.send_unless_closed(client, base.head(number + 1, base.announced(65536)) + b" " * 65535)
                else:
                    send_whole(crowd, machine, [0x1000 * (round_number + 1) + number], large_job(50).encode())
    faults = check_ordinary(machine, {}, "after the crowds", 0xabc)
    for name in ("mangohall_caller_bodies_unfinished", "mangohall_caller_body_bytes_held",
                 "mangohall_caller_connections"):
        base.wait_until(lambda name=name: machine.metric(name) == 0, f"{name} is back to zero")
    return faults + machine.faults("node")


CASES = {
    "large_jobs": lambda stack, programs: accepted_jobs(stack, programs, LARGE_JOBS, large_job()),
    "wide_jobs": lambda stack, programs: accepted_jobs(stack, programs, WIDE_JOBS, wide_job()),
    "replaced_owner": replaced_owner,
    "unfinished_heads": unfinished_heads,
    "silent_store": silent_store,
    "all_at_once": all_at_once,
    "crowds_again": crowds_again,
}


def main():
    programs, case = sys.argv[1:3], sys.argv[3]
    with contextlib.ExitStack() as stack:
        faults = CASES[case](stack, programs)
    for fault in faults:
        print(f"{case}: {fault}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
