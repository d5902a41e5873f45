"""Runs an example deployment with real processes on the loopback interface. Shared by the tools in this folder."""
import http.client
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The environment variable selects another build, for example one with sanitizers.
BUILD = pathlib.Path(os.environ.get("MANGOHALL_BUILD", ROOT / "build"))
READY_TIMEOUT_S = 60
STOP_TIMEOUT_S = 30
POLL_S = 0.2
# The range that is searched for free ports, and the distance between the starting points of two process ids.
FIRST_PORT = 20000
LAST_PORT = 32000
PORT_STEP = 64


class Failure(Exception):
    """An error that ends the run."""


class Program:
    """A running program that can be started again with the same command."""

    def __init__(self, group, command, log_path):
        self.group = group
        self.command = command
        self.log_path = log_path
        self.process = None
        # Whether the program is down on purpose.
        self.is_down = False
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=subprocess.STDOUT)
        self.is_down = False

    def kill(self):
        self.is_down = True
        self.process.kill()
        self.process.wait()

    def request_stop(self):
        self.is_down = True
        if self.process.poll() is None:
            # A paused process does not handle SIGTERM before it continues.
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGTERM)

    def wait_for_stop(self, timeout):
        """Waits for the exit after request_stop(). Returns the exit code, or None if the program had to be killed."""
        try:
            return self.process.wait(max(0.1, timeout))
        except subprocess.TimeoutExpired:
            self.kill()
            return None


class Processes:
    """The programs of a deployment, in groups. stop_all() stops the groups in reverse order of their start."""

    def __init__(self, run_directory):
        self.run_directory = run_directory
        run_directory.mkdir(parents=True, exist_ok=True)
        self.programs = {}

    def start(self, group, name, *arguments):
        log_path = self.run_directory / f"{name}.log"
        log_path.write_bytes(b"")
        self.programs[name] = Program(group, [str(part) for part in arguments], log_path)

    def names(self, group):
        return [name for name, program in self.programs.items() if program.group == group]

    def pid_of(self, name):
        return self.programs[name].process.pid

    def check_alive(self):
        for name, program in self.programs.items():
            if not program.is_down and program.process.poll() is not None:
                raise Failure(f"{name} exited with code {program.process.returncode}; see {program.log_path}")

    def stop(self, names):
        """Stops programs with SIGTERM. Returns a message for each that did not stop gracefully."""
        for name in names:
            self.programs[name].request_stop()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        codes = {name: self.programs[name].wait_for_stop(deadline - time.monotonic()) for name in names}
        return [f"{name} did not stop gracefully, exit code {code}" for name, code in codes.items() if code != 0]

    def stop_group(self, group):
        names = self.names(group)
        faults = self.stop(names)
        for name in names:
            del self.programs[name]
        return faults

    def stop_all(self):
        faults = []
        while self.programs:
            faults += self.stop_group(list(self.programs.values())[-1].group)
        return faults


def request(address, method, path, token=None, body=None, timeout=5):
    """Sends an HTTP request. Returns the status and the body, which is parsed if it is JSON and otherwise left as text.

    A request body of type bytes is sent unchanged; any other is sent as JSON.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        connection.request(method, path, body=data, headers=headers)
        response = connection.getresponse()
        text = response.read().decode()
    finally:
        connection.close()
    try:
        return response.status, json.loads(text)
    except ValueError:
        return response.status, text


def wait_until(what, processes, is_true, timeout=READY_TIMEOUT_S):
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        processes.check_alive()
        try:
            if is_true():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise Failure(f"timed out after {timeout} s while waiting until {what}")


def free_ports(count):
    """Returns ports that no process listens on.

    They lie below the range of outgoing connections, so that they stay free while a program restarts.
    """
    chosen = []
    first = FIRST_PORT + os.getpid() * PORT_STEP % (LAST_PORT - FIRST_PORT)
    for offset in range(LAST_PORT - FIRST_PORT):
        port = FIRST_PORT + (first - FIRST_PORT + offset) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        chosen.append(port)
        if len(chosen) == count:
            return chosen
    raise Failure(f"fewer than {count} ports are free between {FIRST_PORT} and {LAST_PORT}")


def move_to_free_ports(folder, target):
    """Copies an example and gives every address a free port, so that several examples can run at the same time."""
    port_pattern = re.compile(r'(127\.0\.0\.1:|Port": )(\d+)')
    texts = {path: path.read_text() for path in folder.rglob("*.json")}
    example_ports = sorted({port for text in texts.values() for _, port in port_pattern.findall(text)})
    new_ports = dict(zip(example_ports, free_ports(len(example_ports))))
    for path, text in texts.items():
        copy = target / path.relative_to(folder)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_text(port_pattern.sub(lambda match: f"{match[1]}{new_ports[match[2]]}", text))
    return target


class Deployment:
    """The files and addresses of an example deployment."""

    def __init__(self, folder):
        self.folder = folder
        self.settings = {path.stem: json.loads(path.read_text()) for path in (folder / "settings").glob("*-*.json")}
        self.tokens = json.loads((folder / "settings" / "tokens.json").read_text())
        self.jobs = json.loads((folder / "jobs" / "night.json").read_text())["jobs"]
        self.nodes = sorted(self.settings)
        first = self.settings[self.nodes[0]]
        self.store = first["store"]["endpoints"][0].removeprefix("http://")
        self.vm_list = first["vmList"]["endpoint"].removeprefix("http://")
        building = json.loads((folder / "building.json").read_text())
        worker = building["regions"][0]["dataCentres"][0]["racks"][0]["workers"][0]
        self.workers = worker["address"].split("/")[0]
        self.entries = [self.api_of(node) for node in self.nodes if node.startswith("entry")]
        self.operator = self.tokens["operators"][0]

    def api_of(self, node):
        return f"127.0.0.1:{self.settings[node]['api']['listenPort']}"

    def nodes_of(self, role):
        return [node for node in self.nodes if node.startswith(role)]

    def token_of(self, organisation):
        return self.tokens["organisations"][organisation][0]


def find_program(name):
    found = [path for path in BUILD.rglob(name) if path.is_file()]
    if not found:
        raise Failure(f"program {name} was not found below {BUILD}")
    return found[0]


def port_of(address):
    return address.split(":")[1]


def set_faults(address, **faults):
    """Switches fault injection of a simulated service on or off."""
    status, body = request(address, "POST", "/admin/faults", body=faults)
    if status != 200:
        raise Failure(f"the simulated service rejected {faults}: {body}")


def start_platform(deployment, processes):
    building = deployment.folder / "building.json"
    processes.start("platform", "standin-store", find_program("standin-store"), "--port", port_of(deployment.store))
    processes.start("platform", "standin-vmlist", find_program("standin-vmlist"), "--port",
                    port_of(deployment.vm_list), "--building", building)
    vm_list_path = processes.run_directory / "vms.json"

    def read_list():
        status, body = request(deployment.vm_list, "GET", "/v1/vms")
        vm_list_path.write_text(json.dumps(body))
        return status == 200

    wait_until("the VM list answers", processes, read_list)
    processes.start("platform", "standin-worker", find_program("standin-worker"), "--port",
                    port_of(deployment.workers), "--building", vm_list_path)
    wait_until("the workers answer", processes, lambda: request(deployment.workers, "GET", "/admin/workers")[0] == 200)


def is_ready(entry):
    return request(entry, "GET", "/readyz")[0] == 200


def start_nodes(deployment, processes):
    for role in ("scheduler", "entry"):
        for node in deployment.nodes_of(role):
            settings = deployment.folder / "settings" / f"{node}.json"
            processes.start(role, node, find_program(f"mangohall-{role}"), "--settings", settings)
    for entry in deployment.entries:
        wait_until("the entries are ready", processes, lambda: is_ready(entry))


def apply_declarations(deployment, processes):
    command = [str(find_program("mangohallctl"))]
    for entry in deployment.entries:
        command += ["--entry", f"http://{entry}"]
    command += ["--token", deployment.operator, "apply", "-f", str(deployment.folder / "declarations")]
    output = []

    def apply():
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        output[:] = [result.stdout, result.stderr]
        return result.returncode == 0

    try:
        wait_until("the declarations are applied", processes, apply)
    except Failure as failure:
        raise Failure(f"{failure}: {' '.join(output)}") from failure


def shards_of(deployment):
    """Returns the shards as the first entry that answers reports them, or an empty list if none answers."""
    for entry in deployment.entries:
        try:
            status, body = request(entry, "GET", "/v1/shards", deployment.operator)
        except (OSError, http.client.HTTPException):
            continue
        if status == 200:
            return body["items"]
    return []


def wait_for_shards(deployment, processes):
    """Waits until every shard has an owner with free accelerators, which implies that it knows its workers."""

    def has_capacity():
        shards = shards_of(deployment)
        return bool(shards) and all(shard["owner"] and shard["capacity"]["freeAccelerators"] > 0 for shard in shards)

    wait_until("every shard has an owner and workers", processes, has_capacity)


def start_all(deployment, processes):
    start_platform(deployment, processes)
    start_nodes(deployment, processes)
    apply_declarations(deployment, processes)
    wait_for_shards(deployment, processes)
