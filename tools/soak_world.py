"""The processes of a soak run: a simulated platform, nodes of mangohall-node, and a link between each node and the store."""
import asyncio
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import threading
import time

from deployment import BUILD, Program

HOST = "127.0.0.1"
# Each run has a block of ports for its nodes, below those that the system gives to clients.
FIRST_PORT = 10000
PORTS_OF_BLOCK = 240
BLOCKS = 80
PORTS_OF_NODE = 4
READY_TIMEOUT_S = 30
GRACE_S = 5
KEYS = ("key-large", "key-spare")
# The first half of the workers stands in the first data centre, like all nodes; the rest in the second one.
DATA_CENTRES = ("here", "there")
EVACUATION_BOUND_MS = 5000


class PortBlock:
    """A block of ports that no other run uses: the first one is bound for as long as the run lasts."""

    def __init__(self):
        self.holder = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for block in range(BLOCKS):
            self.first = FIRST_PORT + (os.getpid() + block) % BLOCKS * PORTS_OF_BLOCK
            try:
                self.holder.bind((HOST, self.first))
                return
            except OSError:
                continue
        raise RuntimeError("no block of ports is free")

    def of_node(self, number):
        return self.first + 1 + number * PORTS_OF_NODE


class Platform:
    """The simulated store and workers, in a process of their own that is disturbed by commands."""

    def __init__(self, folder, workers):
        self.log = open(folder / "platform.log", "wb")
        command = [BUILD / "tests" / "platform" / "standin-platform", "0", str(workers)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self.log)
        self.store_port = json.loads(self.process.stdout.readline())["port"]
        self.lock = threading.Lock()
        self.version = 1
        self.keys = KEYS

    def send(self, command, **fields):
        with self.lock:
            self.process.stdin.write(json.dumps({"do": command, **fields}).encode() + b"\n")
            self.process.stdin.flush()
            reply = json.loads(self.process.stdout.readline())
        if "error" in reply:
            raise RuntimeError(f"the simulated platform refused {command}")
        return reply

    def write_manifest(self, keys=None):
        """Writes the next version of the manifest, with the keys if they change."""
        self.keys = keys or self.keys
        self.version += 1
        self.send("manifest", version=self.version, keys=list(self.keys))

    def stop(self):
        self.process.send_signal(signal.SIGTERM)
        self.process.wait(timeout=20)


class Link:
    """Forwards the connections of one node to the store, and disturbs them. All methods but the constructor run on the
    loop of the links."""

    def __init__(self, store_port):
        self.store_port = store_port
        self.port = 0
        self.delay_s = 0.0
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.connections = set()

    async def listen(self):
        server = await asyncio.start_server(self.accept, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        try:
            store_reader, store_writer = await asyncio.open_connection(HOST, self.store_port)
        except OSError:
            writer.close()
            return
        connection = Connection(self, writer, store_writer)
        self.connections.add(connection)
        await asyncio.gather(connection.forward(reader, store_writer), connection.forward(store_reader, writer))
        self.connections.discard(connection)

    def cut(self):
        self.is_open.clear()

    def reconnect(self):
        self.is_open.set()

    def set_delay(self, seconds):
        self.delay_s = seconds

    def silence(self):
        """Lets the open connections go silent for good; new ones work."""
        for connection in self.connections:
            connection.is_silent = True

    def reset(self):
        for connection in list(self.connections):
            connection.abort()


class Connection:
    """One connection from a node to the store."""

    def __init__(self, link, node_writer, store_writer):
        self.link = link
        self.writers = (node_writer, store_writer)
        self.is_silent = False

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.link.is_open.wait()
                if self.link.delay_s > 0:
                    await asyncio.sleep(self.link.delay_s)
                if not self.is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def abort(self):
        for writer in self.writers:
            writer.transport.abort()


class Links:
    """The links of all nodes, on a loop in a thread of their own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def add(self, store_port):
        async def make():
            link = Link(store_port)
            await link.listen()
            return link

        return asyncio.run_coroutine_threadsafe(make(), self.loop).result()

    def call(self, method, *arguments):
        self.loop.call_soon_threadsafe(method, *arguments)


class Node:
    """One process of mangohall-node. The lock keeps faults that overlap from starting or stopping it twice."""

    def __init__(self, number, folder, link, ports):
        self.number = number
        self.link = link
        self.lock = threading.Lock()
        self.faults = []
        first = ports.of_node(number)
        self.callers = f"{HOST}:{first}"
        self.readiness = f"{HOST}:{first + 1}"
        settings = {"node": f"node-{number}", "dataCentre": DATA_CENTRES[0], "callers": self.callers,
                    "readiness": self.readiness, "metrics": f"{HOST}:{first + 2}", "store": f"{HOST}:{link.port}",
                    "stopGraceMs": GRACE_S * 1000, "evacuationBoundMs": EVACUATION_BOUND_MS}
        path = folder / f"node-{number}.json"
        path.write_text(json.dumps(settings, indent=4) + "\n")
        log = folder / f"node-{number}.log"
        log.write_bytes(b"")
        self.program = Program("node", [str(BUILD / "platform" / "mangohall-node"), "--settings", str(path)], log)

    def is_ready(self):
        connection = http.client.HTTPConnection(self.readiness, timeout=1)
        try:
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number):
        with self.lock:
            if not self.program.is_down:
                self.program.process.send_signal(number)

    def kill(self):
        with self.lock:
            if not self.program.is_down:
                self.program.kill()

    def start(self):
        with self.lock:
            if self.program.is_down:
                self.program.start()
                self.wait_for_signal_mask()

    def wait_for_signal_mask(self):
        """Waits until the process blocks signals: one that arrives while it is loaded ends any program."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        status = pathlib.Path(f"/proc/{self.program.process.pid}/status")
        while time.monotonic() < deadline:
            masks = [line.split()[1] for line in status.read_text().splitlines() if line.startswith("SigBlk")]
            if int(masks[0], 16) != 0:
                return
            time.sleep(0.005)

    def stop(self):
        """Stops the process gracefully and notes a fault if it did not."""
        with self.lock:
            if self.program.is_down:
                return
            self.program.request_stop()
            code = self.program.wait_for_stop(GRACE_S + 1)
        if code != 0:
            self.faults.append(f"node-{self.number}: code {code} instead of a graceful stop")

    def check_alive(self):
        with self.lock:
            if self.program.is_down or self.program.process.poll() is None:
                return
            self.faults.append(f"node-{self.number}: ended by itself, code {self.program.process.returncode}")
            self.program.is_down = True


class World:
    """All processes of a run."""

    def __init__(self, folder, nodes, workers):
        self.platform = Platform(folder, workers)
        self.workers = [f"worker-{number}" for number in range(workers)]
        # The data centre of each worker.
        self.data_centres = {worker: DATA_CENTRES[number * 2 // workers] for number, worker in enumerate(self.workers)}
        for worker, data_centre in self.data_centres.items():
            self.platform.send("workerDataCentre", worker=worker, dataCentre=data_centre)
        self.links = Links()
        self.ports = PortBlock()
        self.nodes = [Node(number, folder, self.links.add(self.platform.store_port), self.ports)
                      for number in range(nodes)]

    def wait_until_ready(self):
        self.platform.write_manifest()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(node.is_ready() for node in self.nodes):
            if time.monotonic() > deadline:
                raise RuntimeError("the nodes did not become ready in time")
            time.sleep(0.1)

    def stop(self):
        """Stops all processes. Returns what the workers have seen and what went wrong with the nodes."""
        stops = [threading.Thread(target=node.stop) for node in self.nodes]
        for thread in stops:
            thread.start()
        for thread in stops:
            thread.join()
        report = self.platform.send("report")
        self.platform.stop()
        return report, [fault for node in self.nodes for fault in node.faults]
