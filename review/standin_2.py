"""Stand-ins for the cases of the second review: the platform's store, its workers, its clients, and the nodes as the
deploy file starts them. Everything listens on 127.0.0.1 and on free ports.

The store keeps what PROTOCOL.md says of it: one revision counter, conditions, leases that end by time, watches. The
workers keep what it says of them: runs under a lease on their own clock, fences, numbered ends, an answer to a repeated
start, and refusal of a run that was stopped or has ended. A case adds its disruption with the hooks of `Store`.
"""
import base64
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "desk.example"
KEY = "key-one"
SERVICE = "desk"
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10000
STOP_S = 0.1
BEGAN = time.monotonic()


class Record:
    """The file record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - BEGAN:8.3f}  {text}\n")
            self.file.flush()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def dispatch(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = self.server.owner.handle(self.command, self.path, self.headers, body)
        if answer is None:
            # The answer is lost: the channel returns nothing further.
            self.close_connection = True
            return
        status, content = answer
        data = json.dumps(content).encode()
        self.send_response_only(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = dispatch

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, owner):
        super().__init__(("127.0.0.1", 0), Handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def address(self):
        return f"127.0.0.1:{self.server_address[1]}"

    def handle_error(self, *_):
        pass


class Store:
    """The platform's metadata store."""

    MAX_VALUE_BYTES = 1048576

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 100
        # Called with each change that was made on the request of a node; if it returns True, the answer is lost.
        self.loses_answer = lambda change: False
        self.server = Server(self)
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [name for name, (_, end) in self.leases.items() if end <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        gone = [key for key, item in self.items.items() if item["leaseId"] == lease]
        if gone:
            self.revision += 1
        for key in gone:
            self.remove(key)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "deleted": True})
            self.lock.notify_all()

    def write(self, key, value, lease):
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "createdRev": created, "leaseId": lease}
        self.items[key] = item
        self.history.append(item)
        self.lock.notify_all()

    def put(self, key, content):
        """A write of the operator or of a worker."""
        with self.lock:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(content).encode()).decode(), 0)

    def drop(self, key):
        with self.lock:
            self.revision += 1
            self.remove(key)

    def read(self, key):
        """The decoded value of an item, for the record; None if it is absent."""
        with self.lock:
            item = self.items.get(key)
            return None if item is None else json.loads(base64.b64decode(item["value"]))

    def handle(self, method, target, _headers, body):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/v1/kv-key":
            return self.get(fields["key"])
        if path == "/v1/kv-range":
            return self.range(fields["pathPrefix"], fields.get("after", ""))
        if path == "/v1/kv-watch":
            return self.watch(fields["pathPrefix"], int(fields["after"]), int(fields["waitMs"]))
        if path == "/v1/kv-txn":
            return self.change(json.loads(body))
        if path == "/v1/kv-lease":
            return self.grant(json.loads(body)["ttlMs"])
        lease = int(path.rsplit("/", 1)[1])
        with self.lock:
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttlMs": ttl}

    def get(self, key):
        with self.lock:
            item = self.items.get(key)
            return (200, {**item, "atRev": self.revision}) if item else (404, {"atRev": self.revision})

    def range(self, prefix, after):
        with self.lock:
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = []
            size = 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1000000:
                    break
                page.append(self.items[key])
            return 200, {"items": page, "hasMore": len(page) < len(keys), "atRev": self.revision}

    def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        with self.lock:
            while True:
                events = []
                for event in reversed(self.history):
                    if event["revision"] <= after:
                        break
                    if event["key"].startswith(prefix):
                        events.append(event)
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1], "atRev": self.revision}
                self.lock.wait(left)

    def grant(self, ttl):
        with self.lock:
            self.last_lease += 1
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"leaseId": self.last_lease, "ttlMs": ttl}

    def change(self, change):
        with self.lock:
            writes = change.get("write", [])
            expected = change.get("expectedRev", [])
            if len(writes) + len(expected) + len(change.get("remove", [])) > 32:
                return 400, {"error": "too many entries"}
            for write in writes:
                if len(base64.b64decode(write["value"])) > self.MAX_VALUE_BYTES:
                    self.record.line(f"store: refused a value of {len(base64.b64decode(write['value']))} bytes for "
                                     f"{write['key']}, in one change with {len(writes) - 1} others")
                    return 400, {"error": "value too large"}
                if write.get("leaseId", 0) and write["leaseId"] not in self.leases:
                    return 404, {}
            if any(self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"] for row in expected):
                return 412, {"items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
            self.revision += 1
            for write in writes:
                self.write(write["key"], write["value"], write.get("leaseId", 0))
            for key in change.get("remove", []):
                self.remove(key)
            revision = self.revision
        if self.loses_answer(change):
            self.record.line("store: made a change and lost the answer: " + ", ".join(w["key"] for w in writes))
            return None
        return 200, {"revision": revision}


class Worker:
    """One worker. A task runs for the seconds that its spec names, as in "run=2.5"; with "fails-first", its first run
    ends as failed by its own fault."""

    def __init__(self, store, record, name, rack, kind="a", gpu=8, cpu=128000, mem=262144):
        self.store = store
        self.record = record
        self.name = name
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.labels = [kind, rack]
        self.capacity = {"cpu": cpu, "memMb": mem, "gpu": gpu}
        self.fence = 0
        self.until = 0
        self.runs = {}
        self.ends = []
        self.highest = {}
        self.last_end = 0
        self.seq = 0
        # Every start that was carried out, as (task, attempt, seconds since the start of the script).
        self.starts = []
        self.server = Server(self)
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def beat(self):
        while True:
            self.seq += 1
            self.store.put("servers/" + self.name, {
                "service": SERVICE, "address": self.server.address(), "zone": "here", "version": "v1", "slots": 8,
                "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                "clockMs": self.clock(), "seqNo": self.seq, "born": self.born})
            time.sleep(HEARTBEAT_S)

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                if self.runs and self.clock() > self.until:
                    for run in list(self.runs):
                        self.end(run, "lapsed")
                for run, (_, end, how) in list(self.runs.items()):
                    if end <= now:
                        self.end(run, how)

    def end(self, run, how):
        del self.runs[run]
        self.last_end += 1
        self.ends.append([self.last_end, run[0], run[1], how, ""])
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.record.line(f"{self.name}: {run[0]} run {run[1]} ends {how}")
        self.lock.notify_all()

    def extend(self, body):
        if "deadlineMs" in body:
            self.until = max(self.until, min(body["deadlineMs"], self.clock() + HOLD_MAX_MS))

    def answer(self, status, **fields):
        return status, {"clockMs": self.clock(), **fields}

    def handle(self, _method, path, headers, data):
        if headers.get("Mangohall-Expect-Instance", self.name) != self.name:
            return 421, {}
        body = json.loads(data)
        with self.lock:
            if body.get("fenceToken", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = body.get("fenceToken", 0)
            if path == "/v1/hold":
                return self.hold(body)
            run = (body["task"], body["attempt"])
            return self.start(run, body) if path == "/v1/run-start" else self.stop(run)

    def start(self, run, body):
        self.extend(body)
        if run in self.runs:
            return self.answer(200)
        if run[1] <= self.highest.get(run[0], 0):
            return self.answer(409, reason="old")
        if self.until <= self.clock():
            return self.answer(409, reason="late")
        seconds = float(body["spec"].partition("run=")[2].partition(" ")[0] or 1)
        how = "failed" if "fails-first" in body["spec"] and run[1] == 1 else "done"
        now = time.monotonic()
        self.runs[run] = (now, now + seconds, how)
        self.starts.append((run[0], run[1], now - BEGAN))
        self.record.line(f"{self.name}: starts {run[0]} run {run[1]}")
        return self.answer(200)

    def stop(self, run):
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        if run in self.runs:
            self.runs[run] = (self.runs[run][0], time.monotonic() + STOP_S, "stopped")
        return self.answer(200)

    def hold(self, body):
        self.extend(body)
        self.ends = [end for end in self.ends if end[0] > body.get("ackSeq", 0)]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while not self.ends and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        now = time.monotonic()
        running = [[task, attempt, "", max(0, min(99, int(100 * (now - began) / max(0.01, end - began)))), 0]
                   for (task, attempt), (began, end, _) in self.runs.items()]
        return self.answer(200, born=self.born, running=running, finished=self.ends[:500])


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    """One process of the deploy file's role."""

    def __init__(self, folder, store, number, record):
        self.name = f"node-{number}"
        self.record = record
        ports = [free_port() for _ in range(3)]
        self.callers, self.readiness = ports[0], ports[1]
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = os.path.join(folder, self.name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump({"node": self.name, "dataCentre": "here", "callers": f"127.0.0.1:{ports[0]}",
                       "readiness": f"127.0.0.1:{ports[1]}", "metrics": f"127.0.0.1:{ports[2]}",
                       "store": store.server.address(), "maxWorkerLeaseMs": HOLD_MAX_MS,
                       "heartbeatMs": int(HEARTBEAT_S * 1000), "guaranteeBoundMs": 3400, "keyRevocationMs": 5000,
                       "processorShare": 0.25, "openFiles": 4100, "stopGraceMs": 6000}, file)
        self.process = None
        self.lock = threading.Lock()
        self.is_ended = False
        self.start()

    def start(self):
        with self.lock, open(self.log, "ab") as log:
            if self.is_ended:
                return
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target/platform/mangohall-node"), "--settings", self.settings],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def restart_gracefully(self):
        """Stops the process with SIGTERM, as the platform does, and starts it again once it has ended."""
        self.record.line(f"platform: SIGTERM to {self.name}")
        self.process.terminate()
        self.process.wait(8)
        self.record.line(f"platform: {self.name} ended with {self.process.returncode}; it is started again")
        self.start()

    def is_ready(self):
        return request(self.readiness, "GET", "/v1/readyz")[0] == 200

    def end(self):
        with self.lock:
            self.is_ended = True
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            self.process.wait(8)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def request(port, method, path, body=None, wait_s=5.0):
    """Sends one request as a client does; returns the status (0 if there was no answer) and the body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=wait_s)
    try:
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY, "Mangohall-Deadline-Ms": "3000",
                   "Content-Type": "application/json"}
        connection.request(method, path, None if body is None else json.dumps(body), headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except (OSError, http.client.HTTPException):
        return 0, ""
    finally:
        connection.close()


class Deployment:
    """A store, workers and nodes, with a manifest of three queues and one tenant."""

    def __init__(self, folder, node_count=2):
        # A script that is stopped ends its nodes all the same.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.TemporaryDirectory(prefix="mangohall-review-")
        self.store = Store(self.record)
        self.workers = []
        queues = [("urgent", 0, 2, 1.5), ("batch", 1, 4, 3.0), ("bulk", 2, 4, 3.0)]
        self.store.put("op/config", {
            "version": 3,
            "routes": [{"name": "q-" + name, "host": HOST, "pathPrefix": f"/{name}/", "kind": "non_idempotent",
                        "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": priority, "service": SERVICE,
                        "maxAttempts": attempts, "stretchFactor": stretch, "public": False}
                       for name, priority, attempts, stretch in queues],
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforceCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-one", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 8}}]})
        self.nodes = []
        self.node_count = node_count
        self.next = 0
        self.last_job = int(time.time()) << 16

    def add_worker(self, name, rack, **options):
        self.workers.append(Worker(self.store, self.record, name, rack, **options))

    def start(self):
        """Starts the nodes; returns whether all are ready and one owns the workers."""
        self.nodes = [Node(self.folder.name, self.store, number, self.record) for number in range(self.node_count)]
        return self.wait(20, lambda: all(node.is_ready() for node in self.nodes)
                         and self.store.read("mangohall/owner/holder") is not None
                         and all(worker.fence for worker in self.workers))

    @staticmethod
    def wait(seconds, condition, pause_s=0.02):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(pause_s)
        return condition()

    def send(self, method, path, body=None):
        """A client's request; after no answer, 502, 503 or 504 it comes again at the next node, four times at most."""
        status, text = 0, ""
        for _ in range(5):
            node = self.nodes[self.next % len(self.nodes)]
            self.next += 1
            status, text = request(node.callers, method, path, body)
            self.record.line(f"client: {method} {path} at {node.name}: {status or 'no answer'} {text[:160]}")
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.2)
        return status, text

    def owner(self):
        """The node that gave the workers their last orders; None if there is none now."""
        holder = self.store.read("mangohall/owner/holder")
        return next((node for node in self.nodes if holder and node.name == holder["node"]), None)

    def new_job(self):
        self.last_job += 1
        return f"{self.last_job:016x}"

    def submit(self, queue, phases, spec="run=1", **more):
        job = f"/{queue}/{self.new_job()}"
        self.record.line(f"client: {job} is {json.dumps({'spec': spec, 'phases': phases, **more})[:300]}")
        status, _ = self.send("POST", job, {"spec": spec, "phases": phases, **more})
        return job if status == 200 else None

    def state(self, job):
        status, text = self.send("GET", job)
        return json.loads(text).get("state", "") if status == 200 else str(status)

    def started(self, job):
        name = job.rsplit("/", 1)[1] + "."
        return [start for worker in self.workers for start in worker.starts if start[0].startswith(name)]

    def running(self, job):
        name = job.rsplit("/", 1)[1] + "."
        return [run for worker in self.workers for run in list(worker.runs) if run[0].startswith(name)]

    def end(self):
        codes = []
        for node in self.nodes:
            node.end()
            codes.append(node.process.returncode)
        self.record.line(f"nodes ended with {codes}")
        self.folder.cleanup()
        return codes
