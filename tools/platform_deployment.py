"""Runs three processes of mangohall-node against a simulated platform and kills one of them during the run."""
import http.client
import json
import random
import signal
import subprocess
import time

from deployment import ROOT

NODES = 3
FIRST_PORT = 18600
WORKERS = 8
JOBS = 90
SECONDS_TO_END = 60
RUN_DIRECTORY = ROOT / "run" / "quickstart-platform"


def address(node, server):
    return f"127.0.0.1:{FIRST_PORT + node * 10 + server}"


def write_settings(folder, node, store_port):
    settings = {
        "node": f"node-{node}",
        "dataCentre": "here",
        "callers": address(node, 0),
        "readiness": address(node, 1),
        "metrics": address(node, 2),
        "store": f"127.0.0.1:{store_port}",
        "stopGraceMs": 5000,
    }
    path = folder / f"node-{node}.json"
    path.write_text(json.dumps(settings, indent=4) + "\n")
    return path


def call(node, method, path, body=None, server=0):
    """Sends an HTTP request to a node. Returns the status and body, or None if there was no response."""
    connection = http.client.HTTPConnection(address(node, server), timeout=5)
    try:
        headers = {"Host": "desk.example", "Authorization": "Bearer key-large", "Content-Type": "application/json"}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except OSError:
        return None
    finally:
        connection.close()


def make_job(random_source):
    step = {"count": random_source.randint(1, 4), "cpu": 1000, "memMb": 100, "gpu": random_source.choice([1, 2, 4, 8]),
            "estimateMs": 1000}
    if random_source.random() < 0.3:
        step["gang"] = True
    return {"spec": "work", "phases": [step]}


class Nodes:
    """The node processes. Each writes its own log."""

    def __init__(self, folder, store_port):
        self.folder = folder
        self.settings = [write_settings(folder, node, store_port) for node in range(NODES)]
        self.running = {}
        for node in range(NODES):
            self.start(node)

    def start(self, node):
        log = open(self.folder / f"node-{node}.log", "ab")
        program = ROOT / "build" / "platform" / "mangohall-node"
        command = [program, "--settings", self.settings[node]]
        self.running[node] = subprocess.Popen(command, stdout=log, stderr=log)

    def wait_until_ready(self):
        deadline = time.monotonic() + 20
        for node in range(NODES):
            while (call(node, "GET", "/v1/readyz", server=1) or (0, ""))[0] != 200:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"node {node} did not become ready in time")
                time.sleep(0.05)

    def kill(self, node):
        self.running.pop(node).kill()

    def stop_all(self):
        """Stops every node with SIGTERM. Returns a message for each that did not stop gracefully."""
        for process in self.running.values():
            process.send_signal(signal.SIGTERM)
        faults = []
        for node, process in self.running.items():
            try:
                code = process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                code = "none (killed after the timeout)"
            if code != 0:
                faults.append(f"node {node} stopped with code {code}")
        return faults


def submit(path, job):
    """Sends the job to one node after the other until one accepts it. Returns whether it was accepted."""
    for attempt in range(20):
        answer = call(attempt % NODES, "POST", path, json.dumps(job))
        if answer is not None and answer[0] == 200:
            return True
        time.sleep(0.2)
    return False


def wait_for_end(path, deadline):
    while time.monotonic() < deadline:
        for node in range(NODES):
            answer = call(node, "GET", path)
            if answer is not None and answer[1] == '{"state":"completed"}':
                return True
        time.sleep(0.1)
    return False


def run_jobs(nodes):
    """Submits the jobs, kills a node half way and starts it again. Returns a message for each failed job."""
    random_source = random.Random(1)
    paths = []
    faults = []
    for number in range(JOBS):
        if number == JOBS // 2:
            nodes.kill(0)
        path = f"/{random_source.choice(['urgent', 'batch'])}/{number + 1:016x}"
        if submit(path, make_job(random_source)):
            paths.append(path)
        else:
            faults.append(f"{path} was not accepted")
        if number == JOBS * 2 // 3:
            nodes.start(0)
    deadline = time.monotonic() + SECONDS_TO_END
    faults += [f"{path} did not complete" for path in paths if not wait_for_end(path, deadline)]
    print(f"{len(paths)} of {JOBS} jobs accepted, {len(faults)} faults")
    return faults


def run():
    RUN_DIRECTORY.mkdir(parents=True, exist_ok=True)
    standin = subprocess.Popen([ROOT / "build" / "tests" / "platform" / "standin-platform", "0", str(WORKERS)],
                               stdout=subprocess.PIPE)
    faults = []
    stop_faults = []
    try:
        nodes = Nodes(RUN_DIRECTORY, json.loads(standin.stdout.readline())["port"])
        try:
            nodes.wait_until_ready()
            faults = run_jobs(nodes)
        finally:
            stop_faults = nodes.stop_all()
    finally:
        standin.send_signal(signal.SIGTERM)
        code = standin.wait(timeout=10)
    if code != 0:
        stop_faults.append("the simulated workers detected a protocol violation")
    return faults + stop_faults
