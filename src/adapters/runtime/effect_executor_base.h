// Executes the effects of a node through the ports.
#pragma once

#include "adapters/runtime/part_sink_port.h"
#include "adapters/runtime/runtime_ports_type.h"
#include "core/name_type.h"
#include "node/event_type.h"

namespace mangohall {

// Starts the effects that parts of the node return. The result of an asynchronous effect is posted as an event to the
// part that returned the effect. All members are constant after construction, so no lock is needed.
class EffectExecutor {
public:
    // `self` is the node's own name; messages addressed to it are posted locally instead of sent over the network. The
    // sink has to outlive the executor and every completion of an effect that it started.
    EffectExecutor(NodeName self, RuntimePorts ports, PartSink& sink);

    // Starts one effect that the part returned. Does not wait for its completion. The caller must not hold a lock.
    void execute(PartIndex part, Effect effect);

private:
    void start(PartIndex part, const WakeAtEffect& effect);
    void start(PartIndex part, SendEffect&& effect);
    void start(PartIndex part, const StoreEffect& effect);
    void start(PartIndex part, const WorkerEffect& effect);
    void start(PartIndex part, const ReadVmListEffect& effect);
    void start(PartIndex part, const AnswerEffect& effect);
    void start(PartIndex part, NotifyEffect&& effect);
    void start(PartIndex part, const DrainedEffect& effect);
    void start(PartIndex part, const ObservationEffect& effect);

    const NodeName m_self;
    const RuntimePorts m_ports;
    PartSink& m_sink;
};

} // namespace mangohall
