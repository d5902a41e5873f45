"""Starts mangohall-node where something stands in its way: node_start_test.py PROGRAM CASE

Guards against a well configured node that ends at its start, or that ends without one line which says why, and against a
log that ends a node or keeps it from ending. Exits 0 if the node does what the case expects.
"""
import json
import os
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20
START_FAILED_CODE = 1
# How long the port of a process is still taken that is about to end.
PORT_TAKEN_S = 1
# The user and the group of a process without privileges.
UNPRIVILEGED_ID = 65534
# More threads than a node has.
MOST_THREADS = 12


class Node:
    """A process of mangohall-node on free ports, which reaches no store."""

    def __init__(self, program, folder):
        self.program = program
        sockets = [socket.socket() for _ in range(4)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        self.callers, self.readiness, self.metrics, store = (each.getsockname()[1] for each in sockets)
        for each in sockets:
            each.close()
        self.path = os.path.join(folder, "settings.json")
        settings = {"node": "node-0", "dataCentre": "here", "callers": f"127.0.0.1:{self.callers}",
                    "readiness": f"127.0.0.1:{self.readiness}", "metrics": f"127.0.0.1:{self.metrics}",
                    "store": f"127.0.0.1:{store}", "openFiles": 4100}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.output = os.path.join(folder, "output")
        self.process = None

    def start(self, before=None, output=None):
        if output is None:
            output = open(self.output, "wb")
        self.process = subprocess.Popen([self.program, "--settings", self.path], stdout=output, stderr=output,
                                        preexec_fn=before)

    def serves(self):
        """Whether the readiness address answers before the process ends or the time is over."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                with socket.create_connection(("127.0.0.1", self.readiness), timeout=1) as connection:
                    connection.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: here\r\n\r\n")
                    if connection.recv(100).startswith(b"HTTP/1.1"):
                        return True
            except OSError:
                time.sleep(0.05)
        return False

    def ends(self, code):
        return self.process.wait(START_TIMEOUT_S) == code

    def stops(self):
        self.process.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(STOP_TIMEOUT_S) == 0
        except subprocess.TimeoutExpired:
            return False

    def lines(self):
        with open(self.output, encoding="utf-8") as file:
            return file.read().splitlines()

    def says_why(self, *words):
        """Whether one line on standard error and one in the log name the cause."""
        print("\n".join(self.lines()))
        lines = [line for line in self.lines() if all(word in line for word in words)]
        in_log = [line for line in lines if line.startswith("{") and json.loads(line)["event"] == "startFailed"]
        return len(in_log) == 1 and len(lines) == 2


def listen(port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def full_pipe():
    """A pipe that nobody reads and that takes no byte more."""
    _, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while True:
            os.write(writer, b" " * 4096)
    except BlockingIOError:
        pass
    try:
        while True:
            os.write(writer, b" ")
    except BlockingIOError:
        pass
    os.set_blocking(writer, True)
    return writer


def close_standard_streams():
    for stream in range(3):
        os.close(stream)


def limit(kind, count):
    return lambda: resource.setrlimit(kind, (count, count))


def port_given_up_late(node):
    """An earlier process still listens for a moment."""
    listener = listen(node.callers)
    threading.Timer(PORT_TAKEN_S, listener.close).start()
    node.start()
    return node.serves() and node.stops()


def readiness_port_given_up_late(node):
    listener = listen(node.readiness)
    threading.Timer(PORT_TAKEN_S, listener.close).start()
    node.start()
    time.sleep(PORT_TAKEN_S)
    return node.serves() and node.stops()


def port_taken(node):
    with listen(node.callers):
        node.start()
        return node.ends(START_FAILED_CODE) and node.says_why(str(node.callers), "Address already in use")


def metrics_port_taken(node):
    with listen(node.metrics):
        node.start()
        return node.serves() and node.stops()


def few_files(node):
    node.start(limit(resource.RLIMIT_NOFILE, 20))
    return node.ends(START_FAILED_CODE) and node.says_why("Too many open files")


def drop_privileges_and_threads(count):
    # The limit does not hold for the superuser.
    if os.getuid() == 0:
        os.setgid(UNPRIVILEGED_ID)
        os.setuid(UNPRIVILEGED_ID)
    resource.setrlimit(resource.RLIMIT_NPROC, (count, count))


def few_threads(node):
    """The system refuses the process a thread, an earlier or a later one."""
    folder = os.path.dirname(node.path)
    os.chmod(folder, 0o755)
    node.program = shutil.copy(node.program, folder)
    for count in [*range(1, MOST_THREADS), *range(1, MOST_THREADS)]:
        node.start(lambda: drop_privileges_and_threads(count))
        is_served = node.serves()
        node.process.kill()
        code = node.process.wait()
        has_reason = sum(line.startswith("could not start: ") for line in node.lines()) == 1
        print(count, is_served, code, node.lines())
        if not is_served and (code != START_FAILED_CODE or not has_reason):
            return False
    return True


def file_size_limit(node):
    """The first line of the log exceeds the limit, whose signal ends a process that does not ignore it."""
    node.start(limit(resource.RLIMIT_FSIZE, 0))
    with open(f"/proc/{node.process.pid}/status", encoding="utf-8") as status:
        is_served = node.serves()
        ignored = next(line for line in status if line.startswith("SigIgn"))
    is_ignored = int(ignored.split()[1], 16) >> (signal.SIGXFSZ - 1) & 1
    return is_served and is_ignored == 1 and node.stops()


def full_device(node):
    node.start(output=open("/dev/full", "wb"))
    return node.serves() and node.stops()


def closed_pipe(node):
    reader, writer = os.pipe()
    os.close(reader)
    node.start(output=writer)
    return node.serves() and node.stops()


def stalled_pipe(node):
    """Nobody reads the log."""
    node.start(output=full_pipe())
    return node.serves() and node.stops()


def closed_streams(node):
    """No socket may get the number of a standard stream, which the log is written to."""
    node.start(close_standard_streams)
    is_served = node.serves()
    streams = [os.readlink(f"/proc/{node.process.pid}/fd/{stream}") for stream in range(3)]
    print(streams)
    return is_served and streams == ["/dev/null"] * 3 and node.stops()


CASES = [port_given_up_late, readiness_port_given_up_late, port_taken, metrics_port_taken, few_files, few_threads,
         file_size_limit, full_device, closed_pipe, stalled_pipe, closed_streams]


def main():
    program, name = sys.argv[1:]
    case = next(case for case in CASES if case.__name__ == name)
    with tempfile.TemporaryDirectory() as folder:
        node = Node(program, folder)
        try:
            holds = case(node)
        finally:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
    print(f"{name}: {'held' if holds else 'failed'}")
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main())
