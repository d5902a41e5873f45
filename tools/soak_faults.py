"""Draws the faults of a soak run from its seed, and carries them out at their times. Faults overlap and come in series."""
import dataclasses
import signal
import threading
import time
from typing import Callable, Optional

from soak_world import KEYS

SETTLE_S = 1.0


@dataclasses.dataclass
class Fault:
    """A fault that begins at a time, in seconds from the start of the traffic, and may be ended by a second action
    after it has lasted for some seconds."""

    at: float
    lasts: float
    text: str
    begin: Callable[[], None]
    end: Optional[Callable[[], None]] = None


def draw_kill(world, source):
    node = source.choice(world.nodes)
    return f"kill node-{node.number}", node.kill, node.start


def draw_pause(world, source):
    node = source.choice(world.nodes)
    return (f"pause node-{node.number}", lambda: node.signal(signal.SIGSTOP), lambda: node.signal(signal.SIGCONT))


def draw_restart(world, source):
    node = source.choice(world.nodes)

    def restart():
        node.stop()
        node.start()

    return f"stop and start node-{node.number}", restart, None


def draw_reload(world, source):
    node = source.choice(world.nodes)
    return f"reload node-{node.number}", lambda: node.signal(signal.SIGHUP), None


def draw_link(world, source):
    node = source.choice(world.nodes)
    link, call = node.link, world.links.call
    kind = source.choice(["cut", "slow", "silent", "reset"])
    actions = {
        "cut": (lambda: call(link.cut), lambda: call(link.reconnect)),
        "slow": (lambda: call(link.set_delay, 0.2), lambda: call(link.set_delay, 0.0)),
        "silent": (lambda: call(link.silence), None),
        "reset": (lambda: call(link.reset), None),
    }
    return (f"{kind} link of node-{node.number} to the store", *actions[kind])


def draw_store(world, source):
    send = world.platform.send
    kind = source.choice(["away", "silent", "slow", "loses replies", "commits late", "forgets its history"])
    actions = {
        "away": (lambda: send("storeOut", on=True), lambda: send("storeOut", on=False)),
        "silent": (lambda: send("storeOut", on=True, silent=True), lambda: send("storeOut", on=False)),
        "slow": (lambda: send("storeDelay", ms=150), lambda: send("storeDelay", ms=4)),
        "loses replies": (lambda: send("storeLosesReplies", share=0.3), lambda: send("storeLosesReplies", share=0)),
        "commits late": (lambda: send("storeCommitsLate", share=0.2), lambda: send("storeCommitsLate", share=0)),
        "forgets its history": (lambda: send("storeForgets"), None),
    }
    return (f"store {kind}", *actions[kind])


def draw_worker(world, source):
    send, worker = world.platform.send, source.choice(world.workers)
    kind = source.choice(["crash", "restart", "isolate", "partition"])

    def reconnect():
        send("workersReconnect")

    actions = {
        "crash": (lambda: send("workerCrash", worker=worker, ms=1000), None),
        "restart": (lambda: send("workerRestart", worker=worker), None),
        "isolate": (lambda: send("workerIsolate", worker=worker), reconnect),
        "partition": (lambda: send("workerPartition", worker=worker), reconnect),
    }
    return (f"{kind} {worker}", *actions[kind])


def draw_commands(world, source):
    send = world.platform.send
    command, text = source.choice([("workersRunLate", "execute commands late"), ("workersLoseReplies", "lose replies"),
                                   ("workersRefuse", "refuse starts")])
    return f"workers {text}", lambda: send(command, share=0.1), lambda: send(command, share=0)


def draw_manifest(world, source):
    return "manifest of a new version", world.platform.write_manifest, None


KINDS = [draw_kill, draw_pause, draw_restart, draw_reload, draw_link, draw_store, draw_worker, draw_commands,
         draw_manifest]


class Schedule:
    """The faults of a run, those drawn here and further ones, in order of their times, and what was done when."""

    def __init__(self, world, source, seconds, revoke, further_faults):
        self.lines = []
        self.began = 0.0
        self.errors = []
        count = max(3, round(seconds / 2.5))
        faults = []
        for _ in range(count):
            draw = source.choice(KINDS)
            at = source.uniform(1, seconds)
            # Some faults come in a short series.
            for repetition in range(source.choice([1, 1, 1, 3])):
                text, begin, end = draw(world, source)
                start = min(seconds, at + repetition * source.uniform(0.3, 1.2))
                faults.append(Fault(start, min(source.uniform(0.5, 5), seconds + SETTLE_S - start), text, begin, end))
        faults.append(Fault(seconds * 0.5, 0, f"{KEYS[1]} is revoked", revoke))
        faults += further_faults
        self.faults = sorted(faults, key=lambda fault: fault.at)
        steps = [(fault.at, fault.text, fault.begin) for fault in self.faults]
        steps += [(fault.at + fault.lasts, f"end of: {fault.text}", fault.end) for fault in self.faults if fault.end]
        self.steps = sorted(steps, key=lambda step: step[0])

    def run(self):
        """Carries out all faults and their ends. A restart takes as long as it takes, beside the others."""
        self.began = time.monotonic()
        threads = []
        for at, text, action in self.steps:
            time.sleep(max(0.0, self.began + at - time.monotonic()))
            self.lines.append(f"{time.monotonic() - self.began:8.3f}  {text}")
            threads.append(threading.Thread(target=self.carry_out, args=(text, action)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def carry_out(self, text, action):
        try:
            action()
        except Exception as error:  # pylint: disable=broad-except
            self.errors.append(f"{text}: {error}")
