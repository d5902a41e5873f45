"""Sends a crowd of uncontrolled clients to a node: crowd_test.py NODE STANDIN CASE [--old-settings]

Guards against a node that runs out of memory or descriptors, or falls silent, because clients hold unfinished or
oversized bodies open. NODE and STANDIN are the programs mangohall-node and standin-platform. The bounds follow from the
settings: the process may use the memory and the open files that they name. --old-settings leaves out the settings that
nodes before the limits on clients do not know. Exits 0 if the node lives, stays within the bounds and answers an
ordinary request afterwards.
"""
import contextlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

MEMORY_MB = 64
OPEN_FILES = 512
MAX_BODY_BYTES = 262144
# More than fit into the memory with a whole body each (75 MB), fewer than the connections that 64 MB admit (341).
BODY_CLIENTS = 300
# More than the process may have files open.
IDLE_CLIENTS = 800
# The bodies in chunks of 8 bytes of all clients together exceed the memory (60 MB and the rest of the process).
SMALL_CHUNK_BODY_BYTES = 200000
# The states of sockets in /proc/net/tcp.
ESTABLISHED, LISTENING = "01", "0A"
# The node has stopped accepting connections if as many wait in each of this many samples in sequence.
UNCHANGED_SAMPLES = 20
# Bounds the test itself; no check depends on it.
TIMEOUT_S = 60
JOB = '{"spec":"short","phases":[{"count":1,"cpu":100,"gpu":0,"estimateMs":100}]}'


def head(job, length_or_chunked):
    return (f"POST /batch/{job:016x} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-large\r\n"
            f"{length_or_chunked}\r\n\r\n").encode()


def chunked(size, chunk):
    """The encoding of a body of this size without its last chunk."""
    whole = f"{chunk:x}\r\n".encode() + b" " * chunk + b"\r\n"
    rest = size % chunk
    last = f"{rest:x}\r\n".encode() + b" " * rest + b"\r\n" if rest else b""
    return whole * (size // chunk) + last


def announced(size):
    return f"Content-Length: {size}"


CHUNKED = "Transfer-Encoding: chunked"
ONE_SHORT = b" " * (MAX_BODY_BYTES - 1)

# The announcement, what each client sends of the body, and the size of the pieces it is sent in (0 for all at once).
BODY_CASES = {
    "whole": (announced(MAX_BODY_BYTES), ONE_SHORT, 0),
    "pieces": (announced(MAX_BODY_BYTES), ONE_SHORT, 4096),
    "large_chunks": (CHUNKED, chunked(MAX_BODY_BYTES - 1, 16384), 0),
    "small_chunks": (CHUNKED, chunked(SMALL_CHUNK_BODY_BYTES, 8), 0),
    "oversized_announced": (announced(64 << 20), b" " * (1 << 20), 0),
    "oversized_unannounced": (CHUNKED, chunked(1 << 20, 16384), 0),
}


class Node:
    """A node on a stand-in of the platform."""

    def __init__(self, stack, programs, old_settings):
        node, standin = programs
        platform = stack.enter_context(running([standin, "0", "1"], stdin=subprocess.PIPE, stdout=subprocess.PIPE))
        store = json.loads(platform.stdout.readline())["port"]
        self.callers, self.readiness = free_port(), free_port()
        settings = {"node": "node-0", "dataCentre": "zone", "callers": f"127.0.0.1:{self.callers}",
                    "readiness": f"127.0.0.1:{self.readiness}", "store": f"127.0.0.1:{store}",
                    "openFiles": OPEN_FILES, "memoryMb": MEMORY_MB}
        if old_settings:
            del settings["memoryMb"]
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = os.path.join(folder, "settings.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = stack.enter_context(running([node, "--settings", path], stdout=subprocess.DEVNULL))
        wait_until(self.is_ready, "the node is ready")

    def is_ready(self):
        try:
            return call(self.readiness, "GET", "/v1/readyz") == 200
        except OSError:
            return False

    def serves(self, body=None):
        """Whether the node answers a submission with 200."""
        return call(self.callers, "POST", f"/batch/{0xabc:016x}", body or JOB) == 200

    def lives(self):
        return self.process.poll() is None

    def receive_queue(self, state):
        """The sum of the receive queues of the sockets on the callers' port, as in /proc/net/tcp."""
        suffix = f":{self.callers:04X}"
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            for line in list(table)[1:]:
                fields = line.split()
                if fields[1].endswith(suffix) and fields[3] == state:
                    total += int(fields[4].split(":")[1], 16)
        return total

    def unread_bytes(self):
        return self.receive_queue(ESTABLISHED)

    def wait_for_accepts(self):
        """Waits until no connection waits to be accepted, or the number that waits no longer changes."""
        last, unchanged = None, 0
        while self.lives() and unchanged < UNCHANGED_SAMPLES:
            waiting = self.receive_queue(LISTENING)
            if waiting == 0:
                return
            unchanged = unchanged + 1 if waiting == last else 0
            last = waiting
            time.sleep(0.05)

    def peak_memory_kb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))

    def open_files(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


@contextlib.contextmanager
def running(command, **options):
    with subprocess.Popen(command, **options) as process:
        try:
            yield process
        finally:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            try:
                process.wait(TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


def wait_until(condition, what):
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not so after {TIMEOUT_S} s: {what}")
        time.sleep(0.05)


def call(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, {"Host": "desk.example", "Authorization": "Bearer key-large"})
        return connection.getresponse().status
    finally:
        connection.close()


def connect(stack, port):
    return stack.enter_context(socket.create_connection(("127.0.0.1", port), TIMEOUT_S))


def send_unless_closed(client, data):
    """Sends the data. A connection that the node closes is one of the permitted outcomes."""
    with contextlib.suppress(ConnectionError):
        client.sendall(data)


def crowd_of_bodies(stack, node, case):
    announcement, body, piece = BODY_CASES[case]
    clients = [connect(stack, node.callers) for _ in range(BODY_CLIENTS)]
    for index, client in enumerate(clients):
        send_unless_closed(client, head(index + 1, announcement))
    for start in range(0, len(body), piece or len(body)):
        for client in clients:
            send_unless_closed(client, body[start:start + (piece or len(body))])
    wait_until(lambda: not node.lives() or node.unread_bytes() == 0, "the node has read what the crowd has sent")
    return clients


def run_case(stack, node, case):
    """Returns the faults that were seen."""
    faults = []
    served = True
    if case == "one_body":
        # One byte short of the limit, and the limit itself.
        served = all(node.serves(JOB + " " * (size - len(JOB))) for size in (MAX_BODY_BYTES - 1, MAX_BODY_BYTES))
    elif case == "idle":
        with contextlib.ExitStack() as crowd:
            for _ in range(IDLE_CLIENTS):
                connect(crowd, node.callers).sendall(b"POST /batch/1 HTTP/1.1\r\n")
            node.wait_for_accepts()
            # The readiness server shares the process, so that its answers show that the node still works.
            served = node.is_ready()
            files = node.open_files()
    else:
        crowd_of_bodies(stack, node, case)
    if not node.lives():
        return ["the node has ended"]
    if case != "idle":
        files = node.open_files()
    if not (served and node.serves()):
        faults.append("an ordinary request is not answered")
    memory = node.peak_memory_kb()
    print(f"{case}: peak memory {memory} kB of {MEMORY_MB << 10}, open files {files} of {OPEN_FILES}")
    if memory > MEMORY_MB << 10:
        faults.append("the peak memory exceeds that of the machine")
    if files > OPEN_FILES:
        faults.append("more files are open than the process may have")
    if not node.lives():
        faults.append("the node has ended")
    return faults


def main():
    programs, case = sys.argv[1:3], sys.argv[3]
    with contextlib.ExitStack() as stack:
        node = Node(stack, programs, "--old-settings" in sys.argv)
        faults = run_case(stack, node, case)
    for fault in faults:
        print(f"{case}: {fault}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
