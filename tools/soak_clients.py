"""The clients of a soak run. Each keeps its connections open and reuses them until the process behind them is gone."""
import dataclasses
import http.client
import json
import threading
import time

from soak_world import KEYS

ATTEMPTS = 8
ANSWER_TIMEOUT_S = 4
PAUSE_S = 0.15
# Statuses after which a job never runs, by the pages.
REFUSALS = {400, 401, 403, 404, 413, 422, 429, 503}


@dataclasses.dataclass
class Submission:
    """What a client knows of one job. Times are of the monotonic clock."""

    path: str
    tasks: int
    is_gang: bool
    accepted_at: float = 0.0
    # The outcome of an attempt is unknown, so that the job may run.
    is_unknown: bool = False
    cancel_sent_at: float = 0.0
    states: list = dataclasses.field(default_factory=list)

    @property
    def job(self):
        return self.path.rsplit("/", 1)[1]


class Client:
    """One client with a connection to each node."""

    def __init__(self, number, nodes, source, key, broken):
        self.number = number
        self.nodes = nodes
        self.source = source
        self.key = key
        self.broken = broken
        self.connections = {}
        self.submissions = []
        self.revoked_at = None

    def request(self, node, method, path, body=None):
        """Returns the status and the parsed body, or None if there was no whole answer."""
        connection = self.connections.get(node.number)
        if connection is None:
            connection = http.client.HTTPConnection(node.callers, timeout=ANSWER_TIMEOUT_S)
            self.connections[node.number] = connection
        headers = {"Host": "desk.example", "Authorization": f"Bearer {self.key}", "Content-Type": "application/json"}
        try:
            connection.request(method, path, None if body is None else json.dumps(body), headers)
            response = connection.getresponse()
            text = response.read().decode()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self.connections[node.number]
            return None
        try:
            return response.status, json.loads(text) if text else {}
        except ValueError:
            self.broken.append(f"{method} {path} at node-{node.number}: body is no JSON: {text[:80]}")
            return response.status, {}

    def submit(self):
        count = self.source.randint(1, 4)
        step = {"count": count, "cpu": 1000, "memMb": 100, "gpu": self.source.choice([1, 1, 2]), "estimateMs": 1000}
        if self.source.random() < 0.4:
            step["gang"] = True
        queue = self.source.choice(["urgent", "batch"])
        name = f"{self.number:04x}{len(self.submissions):012x}"
        submission = Submission(f"/{queue}/{name}", count, "gang" in step)
        self.submissions.append(submission)
        for attempt in range(ATTEMPTS):
            node = self.nodes[(self.number + attempt) % len(self.nodes)]
            sent_at = time.monotonic()
            answer = self.request(node, "POST", submission.path, {"spec": "work", "phases": [step]})
            if answer is not None and answer[0] == 200:
                submission.accepted_at = time.monotonic()
                self.check_revocation(sent_at, node)
                return
            if answer is None or answer[0] not in REFUSALS:
                submission.is_unknown = True
            time.sleep(PAUSE_S * (attempt + 1))

    def check_revocation(self, sent_at, node):
        if self.revoked_at is not None and sent_at > self.revoked_at + REVOCATION_BOUND_S:
            late = sent_at - self.revoked_at
            self.broken.append(f"CONFIG: node-{node.number} accepted a key {late:.1f} s after it was revoked")

    def query(self, submission):
        node = self.source.choice(self.nodes)
        answer = self.request(node, "GET", submission.path)
        if answer is None:
            return None
        status, body = answer
        state = body.get("state") if status == 200 else None
        visible = submission.accepted_at and time.monotonic() > submission.accepted_at + VISIBLE_S
        if status == 410 and visible:
            self.broken.append(f"LOST: node-{node.number} does not know {submission.path}, which was accepted")
        if state in FINAL_STATES and submission.states and submission.states[-1] not in (state, "pending", "active"):
            self.broken.append(f"MIXED: {submission.path} is {state} after it was {submission.states[-1]}")
        if state in FINAL_STATES:
            submission.states.append(state)
        elif state and submission.states and submission.states[-1] in FINAL_STATES and visible:
            # A node whose view is late may still show the state before.
            submission.states.append(submission.states[-1])
        return state

    def cancel(self, submission):
        submission.cancel_sent_at = time.monotonic()
        self.request(self.source.choice(self.nodes), "DELETE", submission.path)

    def act(self):
        choice = self.source.random()
        open_jobs = [one for one in self.submissions[-20:] if one.accepted_at and not one.cancel_sent_at]
        if choice < 0.6 or not open_jobs:
            self.submit()
        elif choice < 0.95:
            self.query(self.source.choice(open_jobs))
        else:
            self.cancel(self.source.choice(open_jobs))
        time.sleep(PAUSE_S)


REVOCATION_BOUND_S = 5.0
VISIBLE_S = 3.0
FINAL_STATES = ("completed", "failed", "aborted")


class Clients:
    """Several clients, each on a thread of its own. The last one has the key that is revoked."""

    def __init__(self, count, nodes, sources):
        self.broken = []
        keys = [KEYS[0]] * (count - 1) + [KEYS[1]]
        self.clients = [Client(number, nodes, sources[number], key, self.broken) for number, key in enumerate(keys)]
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(client,)) for client in self.clients]

    def run(self, client):
        while not self.is_over.is_set():
            client.act()

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()

    def record_revocation(self, at):
        self.clients[-1].revoked_at = at

    @property
    def submissions(self):
        return [submission for client in self.clients for submission in client.submissions]
