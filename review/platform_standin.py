"""A small stand-in of the users' platform for the scripts of this folder: the metadata store, workers, and clients.

It follows the pages of the platform (PROTOCOL): the store speaks `kv`, workers take orders by `invoke`. Everything runs
in one asyncio loop on loopback addresses and on the real clock. Each scenario adds its own disruption.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The bounds of the small deployments (`sites/*.toml`, SYSTEM.md).
HOLD_MAX_MS = 10000
HEARTBEAT_MS = 1500
GANG_TIMEOUT_MS = 3000
STORE_ANSWER_S = 0.004
MAX_VALUE_BYTES = 1048576
HOST = "desk.example"
KEY = "key-large"


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, *words):
        line = f"{self.now():8.3f}  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers and body; None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


async def reset_at_next_packet(reader, writer):
    try:
        await reader.read(1)
    except ConnectionError:
        pass
    writer.transport.abort()


class HttpServer:
    """Serves HTTP/1.1 with kept connections. `handle` gets method, target, headers, body and returns status and JSON."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.tasks = set()
        self.writers = set()
        # The machine has lost its power: no connection is closed, and none of them answers.
        self.has_lost_power = False

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 24)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # No response: the connection stays silent.
                    await asyncio.sleep(3600)
                status, content = answer
                data = json.dumps(content).encode() if content is not None else b""
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            if self.has_lost_power:
                asyncio.ensure_future(reset_at_next_packet(reader, writer))
            else:
                writer.close()

    async def stop(self):
        """Closes the listener and all connections at once, as the end of a process does."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def lose_power(self):
        """The machine is gone without a packet. Started again, it resets an old connection at its next packet."""
        self.has_lost_power = True
        self.server.close()
        self.server = None
        for task in list(self.tasks):
            task.cancel()


class Store:
    """The metadata store: revisions, conditions, leases and watches."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}
        self.last_lease = 7000
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)
        self.port = 0
        # A scenario may set this: called with method, path and body; returns an answer instead of the store's.
        self.interceptor = None

    async def start(self):
        self.port = await self.server.start()
        asyncio.ensure_future(self.expire_leases())

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createdRev"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "createdRev": created, "leaseId": lease}
        self.items[key] = item
        self.events.append(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ends, _) in list(self.leases.items()):
                if time.monotonic() >= ends:
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["leaseId"] == lease]:
            self.remove(key)
        await self.notify()

    async def handle(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        content = json.loads(body) if body else {}
        await asyncio.sleep(STORE_ANSWER_S)
        if self.interceptor is not None:
            answer = await self.interceptor(method, url.path, query, content)
            if answer is not False:
                return answer
        if url.path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, atRev=self.revision)) if item else (404, {})
        if url.path == "/v1/kv-range":
            return self.range(query)
        if url.path == "/v1/kv-watch":
            return await self.watch(query)
        if url.path == "/v1/kv-txn":
            return await self.commit(content)
        if url.path == "/v1/kv-lease":
            self.last_lease += 1
            ttl = max(1000, content["ttlMs"])
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"leaseId": self.last_lease, "ttlMs": ttl}
        name, _, lease = url.path.rpartition("/")
        if name == "/v1/kv-keep":
            if int(lease) not in self.leases:
                return 404, {}
            ttl = self.leases[int(lease)][1]
            self.leases[int(lease)] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        if name == "/v1/kv-lease-end":
            await self.end_lease(int(lease))
            return 200, {}
        return 404, {}

    def range(self, query):
        keys = sorted(key for key in self.items
                      if key.startswith(query["pathPrefix"]) and key > query.get("after", ""))
        page = [self.items[key] for key in keys[:500]]
        return 200, {"items": page, "hasMore": len(keys) > 500, "atRev": self.revision}

    async def watch(self, query):
        after = int(query["after"])
        ends = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [event for event in self.events
                      if event["revision"] > after and event["key"].startswith(query["pathPrefix"])]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "atRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def commit(self, content):
        expected = content.get("expectedRev", [])
        current = [self.items[row["key"]] for row in expected if row["key"] in self.items]
        for row in expected:
            if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": current}
        too_large = [write["key"] for write in content["write"]
                     if len(base64.b64decode(write["value"])) > MAX_VALUE_BYTES]
        if too_large:
            self.record.write("store refuses a commit: larger than maxValueBytes:", too_large, "in the same commit:",
                              [write["key"] for write in content["write"]])
            return 400, {}
        if any(write.get("leaseId") and write["leaseId"] not in self.leases for write in content["write"]):
            return 404, {}
        for write in content["write"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("leaseId", 0))
        for key in content.get("remove", []):
            self.remove(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Gangs:
    """The gangs of all workers: which members of each run of a gang are present. Scenarios register jobs here."""

    def __init__(self):
        self.jobs = {}

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["phases"][int(step)]

    def is_gang(self, task):
        return bool(self.step(task).get("gang"))


class Worker:
    """One worker: it starts what it is told, keeps a lease, lists ends until they are acknowledged."""

    all = {}

    def __init__(self, platform, name, capacity, labels, work_s):
        self.platform = platform
        self.record = platform.record
        self.name = name
        self.capacity = capacity
        self.labels = labels
        self.work_s = work_s
        self.server = None
        self.port = 0
        self.reset()
        self.is_up = False
        # Every run that it starts ends `failed` after this many seconds, if set (srv_grey: errors).
        self.fails_after_s = None
        # It is unhealthy: starts get 503, and nothing is done (srv_grey: busy).
        self.refuses = False
        # A cut: nothing reaches the worker until then; what was sent is delivered at its end.
        self.cut = None
        self.beat_task = None
        self.seq = 0

    def reset(self):
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.runs = {}
        self.ended = {}
        self.barred = {}
        self.last_end = 0
        self.lease_until = 0
        self.end_event = asyncio.Event()

    def clock(self):
        return 400000 + int((time.monotonic() - self.started_at) * 1000)

    async def start(self, first_beat_s=0.0):
        self.reset()
        self.server = HttpServer(self.handle)
        self.port = await self.server.start(self.port)
        self.is_up = True
        self.beat_task = asyncio.ensure_future(self.beat(first_beat_s))
        self.lease_task = asyncio.ensure_future(self.watch_lease())

    async def crash(self, power=False):
        """The process is gone, with all that runs on it. It sends nothing; without power its connections fall silent."""
        self.is_up = False
        self.record.write("worker", self.name, "loses power" if power else "crashes", "- running:", list(self.runs))
        for run in list(self.runs.values()):
            run["timer"].cancel()
        self.platform.lost(self)
        self.beat_task.cancel()
        self.lease_task.cancel()
        await (self.server.lose_power() if power else self.server.stop())

    async def beat(self, first_beat_s):
        await asyncio.sleep(first_beat_s)
        while True:
            self.seq += 1
            entry = {"service": "desk", "address": f"127.0.0.1:{self.port}", "zone": "here", "version": "v1",
                     "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                     "clockMs": self.clock(), "seqNo": self.seq, "born": self.born}
            known = getattr(self, "entry", None)
            stable = {field: value for field, value in entry.items() if field not in ("seqNo", "clockMs")}
            if known != stable:
                self.entry = stable
                self.platform.store.put_json(f"servers/{self.name}", entry)
                await self.platform.store.notify()
                self.record.write("worker", self.name, "reports: born", self.born, "capacity", self.capacity,
                                  "labels", self.labels)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() >= self.lease_until:
                for run in list(self.runs):
                    self.end(run, "lapsed")

    async def handle(self, method, target, headers, body):
        while self.cut is not None and not self.cut.is_set():
            await self.cut.wait()
        if headers.get("mangohall-expect-instance", self.name) != self.name:
            return 421, {}
        content = json.loads(body)
        token = content.get("fenceToken", 0)
        if token < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = token
        if target == "/v1/run-start" and self.refuses:
            self.record.write("worker", self.name, "refuses the start of", content["task"], "attempt",
                              content["attempt"], "with 503")
            return 503, {}
        if target == "/v1/run-start":
            return self.run_start(content)
        if target == "/v1/run-stop":
            return self.run_stop(content)
        if target == "/v1/hold":
            return await self.hold(content)
        return 400, {}

    def extend(self, content):
        if "deadlineMs" in content:
            self.lease_until = max(self.lease_until, min(content["deadlineMs"], self.clock() + HOLD_MAX_MS))

    def run_start(self, content):
        task, attempt = content["task"], content["attempt"]
        name = (task, attempt)
        answer = {"clockMs": self.clock()}
        if name in self.runs:
            return 200, answer
        if attempt <= self.barred.get(task, 0):
            self.extend(content)
            return 409, dict(answer, reason="old")
        if content.get("deadlineMs", 0) <= self.clock():
            return 409, dict(answer, reason="late")
        self.extend(content)
        self.runs[name] = {"begun": time.monotonic(), "saved": content.get("checkpoint", ""), "timer": None}
        self.record.write("worker", self.name, "labels", self.labels[0], "starts", task, "attempt", attempt, "spec",
                          content["spec"])
        self.platform.started(self, task, attempt)
        if self.fails_after_s is not None:
            self.later(name, self.fails_after_s, "failed")
        elif not self.platform.gangs.is_gang(task):
            self.later(name, self.platform.work_of(self, task), "done")
        else:
            self.later(name, GANG_TIMEOUT_MS / 1000, "alone")
            self.platform.gather(task, attempt)
        return 200, answer

    def later(self, name, seconds, how):
        run = self.runs[name]
        if run["timer"] is not None:
            run["timer"].cancel()
        run["due"] = time.monotonic() + seconds
        run["timer"] = asyncio.get_event_loop().call_later(seconds, self.end, name, how)

    def end(self, name, how):
        run = self.runs.pop(name, None)
        if run is None:
            return
        run["timer"].cancel()
        task, attempt = name
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        self.last_end += 1
        self.ended[self.last_end] = [self.last_end, task, attempt, how, run["saved"]]
        self.record.write("worker", self.name, "ends", task, "attempt", attempt, how)
        self.platform.ended(self, task, attempt, how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def run_stop(self, content):
        task, attempt = content["task"], content["attempt"]
        self.record.write("worker", self.name, "is told to stop", task, "attempt", attempt)
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        if (task, attempt) in self.runs:
            asyncio.get_event_loop().call_later(0.1, self.end, (task, attempt), "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, content):
        self.extend(content)
        self.record.write("worker", self.name, "born", self.born, "is polled: ackSeq", content.get("ackSeq", 0), "waitMs",
                          content.get("waitMs", 0))
        for number in [number for number in self.ended if number <= content.get("ackSeq", 0)]:
            end = self.ended.pop(number)
            self.platform.acknowledged.append((self.record.now(), self.name, end[1], end[2], end[3]))
            self.record.write("worker", self.name, "forgets the end", end)
        wait = content.get("waitMs", 0) / 1000
        if not self.ended and wait > 0:
            try:
                await asyncio.wait_for(self.end_event.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = []
        for (task, attempt), run in self.runs.items():
            whole = max(0.001, run["due"] - run["begun"])
            percent = min(99, int(100 * (time.monotonic() - run["begun"]) / whole))
            running.append([task, attempt, run["saved"], percent, 0])
        finished = [self.ended[number] for number in sorted(self.ended)][:500]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": finished}


class Platform:
    """The store, the workers and the nodes of one scenario."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="mangohall-review-")
        self.store = Store(self.record)
        self.gangs = Gangs()
        self.workers = {}
        self.nodes = []
        # Every start and every end, as the workers saw them.
        self.starts = []
        self.ends = []
        self.acknowledged = []
        # The run time of a job's tasks, by the payload of the job; without an entry the worker's own.
        self.work_by_spec = {}

    async def start(self, workers, routes, node_count=3):
        await self.store.start()
        for name, capacity, labels in workers:
            self.workers[name] = Worker(self, name, capacity, labels, 1.0)
            await self.workers[name].start()
        self.store.put_json("op/config", {
            "version": 1, "routes": routes,
            "services": [{"name": "desk", "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforceCapacity": False, "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
            "tenants": [{"name": "large", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpu": 0}}]})
        for number in range(node_count):
            self.add_node(number)
        for node in self.nodes:
            await self.until_ready(node)
        # The owner of the jobs has time to poll every worker.
        await asyncio.sleep(2.0)

    def add_node(self, number):
        ports = [free_port() for _ in range(3)]
        path = os.path.join(self.temporary, f"node-{number}.json")
        settings = {"node": f"node-{number}", "dataCentre": "here", "callers": f"127.0.0.1:{ports[0]}",
                    "readiness": f"127.0.0.1:{ports[1]}", "metrics": f"127.0.0.1:{ports[2]}",
                    "store": f"127.0.0.1:{self.store.port}", "maxWorkerLeaseMs": HOLD_MAX_MS,
                    "heartbeatMs": HEARTBEAT_MS, "guaranteeBoundMs": 3400, "keyRevocationMs": 5000,
                    "processorShare": 0.25, "openFiles": 4100, "stopGraceMs": 6000}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.temporary, f"node-{number}.log"), "ab")
        program = os.path.join(REPOSITORY, "target", "platform", "mangohall-node")
        process = subprocess.Popen([program, "--settings", path], stdout=log, stderr=log, cwd=REPOSITORY)
        self.nodes.append({"process": process, "ports": ports, "name": f"node-{number}"})

    async def until_ready(self, node):
        for _ in range(200):
            answer = await call(node["ports"][1], "GET", "/v1/readyz")
            if answer is not None and answer[0] == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{node['name']} did not become ready")

    async def request(self, node, method, path, body=None):
        """A client's call to a node. Returns status and body; None without a response."""
        answer = await call(self.nodes[node]["ports"][0], method, path, body)
        shown = json.dumps(body)[:300] if body is not None else ""
        self.record.write("client", method, path, shown, "->", f"node-{node}:", answer)
        return answer

    async def submit(self, node, prefix, identity, job):
        self.gangs.jobs[identity] = job
        return await self.request(node, "POST", prefix + identity, job)

    def work_of(self, worker, task):
        job = self.gangs.jobs[task.split(".")[0]]
        return self.work_by_spec.get(job["spec"], worker.work_s)

    def started(self, worker, task, attempt):
        self.starts.append((self.record.now(), worker.name, task, attempt))

    def ended(self, worker, task, attempt, how):
        self.ends.append((self.record.now(), worker.name, task, attempt, how))
        if self.gangs.is_gang(task) and how != "broken":
            # The other workers hear of it a moment later.
            asyncio.get_event_loop().call_later(0.05, self.tell_gang, task, attempt, "done" if how == "done" else "broken")

    def tell_gang(self, task, attempt, how):
        step = task.rsplit(".", 1)[0] + "."
        for worker in self.workers.values():
            for name in [name for name in worker.runs if name[0].startswith(step) and name[1] == attempt]:
                worker.end(name, how)

    def lost(self, worker):
        for task, attempt in list(worker.runs):
            self.ends.append((self.record.now(), worker.name, task, attempt, "lost with its worker"))
            if self.gangs.is_gang(task):
                asyncio.get_event_loop().call_later(0.05, self.tell_gang, task, attempt, "broken")

    def gather(self, task, attempt):
        step = task.rsplit(".", 1)[0] + "."
        members = [(worker, name) for worker in self.workers.values() for name in worker.runs
                   if name[0].startswith(step) and name[1] == attempt]
        if len(members) < self.gangs.step(task)["count"]:
            return
        for worker, name in members:
            if worker.fails_after_s is None:
                worker.later(name, self.work_of(worker, name[0]), "done")

    async def stop(self):
        for node in self.nodes:
            if node["process"].poll() is None:
                node["process"].send_signal(signal.SIGCONT)
                node["process"].send_signal(signal.SIGTERM)
        for node in self.nodes:
            for _ in range(100):
                if node["process"].poll() is not None:
                    break
                await asyncio.sleep(0.1)
            else:
                node["process"].kill()
            node["process"].wait()
        if os.environ.get("KEEP"):
            self.record.write("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


def free_port():
    import socket
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


async def call(port, method, path, body=None, timeout=3.0):
    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                         f"Mangohall-Deadline-Ms: 3000\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer.decode()
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def route(name, priority, attempts):
    return {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": "non_idempotent", "timeoutMs": 3000,
            "targetLatencyMs": 400, "priority": priority, "service": "desk", "maxAttempts": attempts,
            "stretchFactor": 1.5, "public": False}


def run_scenario(scenario, limit_s=110):
    """Runs the scenario and exits: 1 if it returns the description of a broken rule, 0 if it returns None, 2 if it
    could not run."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        platform = Platform(folder)
        platform.record.write("trouble:", trouble)
        try:
            return await asyncio.wait_for(scenario(platform, trouble), limit_s)
        finally:
            try:
                await platform.stop()
            finally:
                platform.record.write("all processes have ended")

    try:
        broken = asyncio.run(run())
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        sys.exit(2)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as file:
        file.write(f"result: {'broken: ' + broken if broken else 'the rule held'}\n")
    print(f"broken: {broken}" if broken else "the rule held")
    sys.exit(1 if broken else 0)
