"""Submits jobs over HTTP and checks each answer against the executions that the workers report."""
import collections
import concurrent.futures
import http.client
import json
import random
import sys
import threading
import time

from deployment import POLL_S, request

ANSWER_TIMEOUT_S = 180
WAIT_MS = 10000
SUBMITTERS = 64
PROGRESS_STEP = 50
# A waiting request may be answered somewhat later than its requested wait time.
ANSWER_GRACE_S = 5


class Answer:
    """The final answer to one job, or its absence."""

    def __init__(self, job):
        self.job = job
        self.kind = "noAnswer"
        self.execution = "unknown"
        self.results = []
        self.seconds = 0.0
        # Connection errors during the submission, except refused connections.
        self.connection_errors = []

    def name(self):
        return f"{self.job['organisation']}/{self.job['requestKey']}"


def is_final(status, body):
    if not isinstance(body, dict) or status == 202:
        return False
    return body.get("phase") == "ended" or not body.get("error", {}).get("retryable", True)


class Callers:
    """Submits jobs from several threads."""

    def __init__(self, deployment, answer_timeout=ANSWER_TIMEOUT_S, wait_ms=WAIT_MS):
        self.deployment = deployment
        self.answer_timeout = answer_timeout
        self.wait_ms = wait_ms
        # Set to make every submitting thread stop.
        self.is_cancelled = threading.Event()

    def submit(self, number, job):
        """Sends the job until it has a final answer. Repetition is safe because the key identifies the job."""
        answer = Answer(job)
        started_at = time.monotonic()
        path = f"/v1/jobs/{job['requestKey']}?waitMs={self.wait_ms}"
        token = self.deployment.token_of(job["organisation"])
        entries = self.deployment.entries
        attempt = 0
        while time.monotonic() - started_at < self.answer_timeout and not self.is_cancelled.is_set():
            entry = entries[(number + attempt) % len(entries)]
            attempt += 1
            try:
                status, body = request(entry, "PUT", path, token, job["spec"], self.wait_ms / 1000 + ANSWER_GRACE_S)
            except ConnectionRefusedError:
                status, body = 0, None
            except (OSError, http.client.HTTPException) as error:
                answer.connection_errors.append(f"{type(error).__name__} from {entry} at {time.strftime('%H:%M:%S')}")
                status, body = 0, None
            if is_final(status, body):
                answer.kind = body["error"]["kind"] if "error" in body else body["outcome"]
                answer.execution = body.get("execution") or body["error"]["execution"]
                answer.results = body.get("results", [])
                break
            # With status 202 the entry has already waited; otherwise this thread pauses before the next attempt.
            if status != 202:
                self.is_cancelled.wait(POLL_S)
        answer.seconds = time.monotonic() - started_at
        return answer

    def submit_all(self, jobs, spread_s=0.0, progress=lambda done, total: None):
        """Submits the jobs, spread evenly over spread_s seconds, and returns the answers in the order of the jobs."""
        lock = threading.Lock()
        done = []
        started_at = time.monotonic()

        def run(numbered):
            number, job = numbered
            self.is_cancelled.wait(max(0.0, started_at + spread_s * number / len(jobs) - time.monotonic()))
            answer = self.submit(number, job)
            with lock:
                done.append(answer)
                progress(len(done), len(jobs))
            return answer

        with concurrent.futures.ThreadPoolExecutor(SUBMITTERS) as pool:
            try:
                return list(pool.map(run, enumerate(jobs)))
            except BaseException:
                self.is_cancelled.set()
                raise


def show_progress(done, total):
    """Prints the progress: on a terminal a line that is rewritten, else a line every PROGRESS_STEP jobs."""
    if sys.stderr.isatty():
        print(f"\r{done} of {total} jobs answered", end="\n" if done == total else "", file=sys.stderr, flush=True)
    elif done % PROGRESS_STEP == 0 or done == total:
        print(f"{done} of {total} jobs answered", file=sys.stderr, flush=True)


def make_jobs(deployment, seed, label, count, run_ms=(200, 1500), answer_bytes=256):
    """Makes jobs of one to three tasks, the same for the same seed. Half of them are not idempotent."""
    random_source = random.Random(f"{label} {seed}")
    organisations = sorted(deployment.tokens["organisations"])
    service = deployment.jobs[0]["spec"]["service"]
    jobs = []
    for number in range(count):
        key = f"{label}-{seed}-{number:04}"
        run = random_source.randint(*run_ms)
        payload = {"runMs": run, "answerBytes": answer_bytes, "echo": key}
        shape = {"tasks": random_source.choice([1, 1, 1, 2, 3]),
                 "acceleratorsPerTask": random_source.choice([0, 0, 1, 2]),
                 "adjacency": random_source.choice(["anywhere", "sameDataCentre", "sameRack"])}
        spec = {"service": service, "shape": shape, "cpuMillisPerTask": 250, "memoryBytesPerTask": 1 << 26,
                "expectedRunTimeMs": run, "idempotent": number % 2 == 0, "payload": json.dumps(payload)}
        jobs.append({"organisation": random_source.choice(organisations), "requestKey": key, "spec": spec})
    return jobs


def executions_of(deployment):
    """Returns all executions that the workers report."""
    return request(deployment.workers, "GET", "/admin/executions", timeout=30)[1]["executions"]


def read_executions(deployment):
    """Returns the executions by job, each as its attempt and task index."""
    executed = collections.defaultdict(list)
    for execution in executions_of(deployment):
        task = execution["task"]
        executed[(task["organisation"], task["requestKey"])].append((task["attempt"], task["index"]))
    return executed


def faults_of(answer, executed):
    """Yields the contradictions between the answer and the executions."""
    spec = answer.job["spec"]
    payload = json.loads(spec["payload"])
    tasks = spec["shape"]["tasks"]
    runs = executed[(answer.job["organisation"], answer.job["requestKey"])]
    if answer.kind == "noAnswer":
        yield "no final answer"
    if len(runs) != len(set(runs)):
        yield "a task id executed twice"
    if not spec["idempotent"] and len({attempt for attempt, _ in runs}) > 1:
        yield "a non-idempotent job executed more than once"
    if answer.execution == "notRun" and runs:
        yield "said notRun but executed"
    if answer.execution == "ran" and not runs:
        yield "said ran but never executed"
    if answer.kind != "succeeded":
        return
    expected = payload["echo"].ljust(payload["answerBytes"], ".")
    if answer.results != [expected] * tasks:
        yield "the answer is not the job's own"
    if not any({index for attempt, index in runs if attempt == one} == set(range(tasks)) for one, _ in runs):
        yield "succeeded without all of its tasks executed in one attempt"


def faults_of_all(answers, executed):
    return [f"{answer.name()}: {fault}" for answer in answers for fault in faults_of(answer, executed)]
