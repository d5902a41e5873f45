"""Draws the evacuations of a soak run and faults around them, and records when each was in force."""
import dataclasses
import math
import random
import threading

from soak_faults import SETTLE_S, Fault
from soak_world import DATA_CENTRES


# Each step of a fault runs in a thread of its own, so its end must not overtake its begin.
SHORTEST_FAULT_S = 0.5


@dataclasses.dataclass
class Period:
    """A request to evacuate a data centre. Times are when the store acknowledged it and its withdrawal, in Unix
    milliseconds by the clock of the simulated platform."""

    data_centre: str
    acknowledged_ms: int
    withdrawn_ms: float = math.inf


class Evacuations:
    """The operators' requests. They reach the store also while nodes do not."""

    def __init__(self, platform, is_dropped):
        self.platform = platform
        # Requests are recorded here and not written to the store, so that no node heeds them: a planted fault.
        self.is_dropped = is_dropped
        self.lock = threading.Lock()
        self.periods = []

    def send(self, command, data_centre):
        if self.is_dropped:
            return self.platform.send("owner")["atMs"]
        return self.platform.send(command, dataCentre=data_centre)["atMs"]

    def request(self, data_centre):
        with self.lock:
            self.periods.append(Period(data_centre, self.send("evacuate", data_centre)))

    def withdraw(self, data_centre):
        with self.lock:
            period = [one for one in self.periods if one.data_centre == data_centre][-1]
            period.withdrawn_ms = self.send("withdrawEvacuation", data_centre)


def make_owner_kill(world):
    """Returns an action that kills the owner, whichever node that is then, and one that starts it again."""
    killed = []

    def kill():
        owner = world.platform.send("owner")["owner"]
        killed.extend(node for node in world.nodes if f"node-{node.number}" == owner)
        for node in killed:
            node.kill()

    def start():
        for node in killed:
            node.start()

    return kill, start


def draw_fault_beside(world, source, requested_at, last_at):
    """Draws a fault around a request, or around the end of the bound: a change of owner or an outage of the store."""
    send = world.platform.send
    kind = source.choice(["none", "owner", "store away", "store silent"])
    at = max(0.0, requested_at + source.uniform(-1, 6))
    lasts = min(source.uniform(0.5, 4), last_at - at)
    if kind == "none" or lasts < SHORTEST_FAULT_S:
        return []
    if kind == "owner":
        return [Fault(at, lasts, "kill the owner beside an evacuation", *make_owner_kill(world))]
    is_silent = kind == "store silent"
    return [Fault(at, lasts, f"{kind} beside an evacuation", lambda: send("storeOut", on=True, silent=is_silent),
                  lambda: send("storeOut", on=False))]


def draw_evacuations(evacuations, world, seed, seconds):
    """Draws requests for each data centre, each withdrawn and then made again. They have a random stream of their own,
    so that they do not change which other faults a seed draws."""
    source = random.Random(f"evacuations {seed}")
    last_at = seconds + SETTLE_S
    faults = []
    for data_centre in DATA_CENTRES:
        at = source.uniform(1, 8)
        while at < seconds - 1:
            # Most requests outlast the bound of 5 s; the others are withdrawn before it.
            lasts = source.choice([source.uniform(0.5, 4), source.uniform(6, 11), source.uniform(6, 11)])
            lasts = min(lasts, last_at - at)
            faults.append(Fault(at, lasts, f"evacuation of {data_centre}",
                                lambda name=data_centre: evacuations.request(name),
                                lambda name=data_centre: evacuations.withdraw(name)))
            faults += draw_fault_beside(world, source, at, last_at)
            at += lasts + source.choice([source.uniform(0.3, 1.5), source.uniform(4, 10)])
    return faults
