// The ports through which the effects of a node are carried out.
#pragma once

#include "ports/caller_port.h"
#include "ports/observer_port.h"
#include "ports/peer_port.h"
#include "ports/store_port.h"
#include "ports/vm_list_port.h"
#include "ports/worker_port.h"

namespace mangohall {

// References to the ports of a runtime. Every port has to outlive the runtime.
struct RuntimePorts {
    StorePort& store;
    VmListPort& vmList;
    WorkerPort& worker;
    PeerPort& peer;
    ObserverPort& observer;
    // Null in a node that has no front end for callers.
    CallerPort* caller = nullptr;
};

} // namespace mangohall
