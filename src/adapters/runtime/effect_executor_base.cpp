#include "adapters/runtime/effect_executor_base.h"

#include <utility>

namespace mangohall {

EffectExecutor::EffectExecutor(NodeName self, RuntimePorts ports, PartSink& sink)
    : m_self(std::move(self))
    , m_ports(ports)
    , m_sink(sink)
{
}

void EffectExecutor::execute(PartIndex part, Effect effect)
{
    std::visit([this, part](auto&& alternative) { start(part, std::forward<decltype(alternative)>(alternative)); },
        std::move(effect));
}

void EffectExecutor::start(PartIndex part, const WakeAtEffect& effect)
{
    m_sink.wakeAt(part, effect.at);
}

void EffectExecutor::start(PartIndex /*part*/, SendEffect&& effect)
{
    if (effect.to == m_self) {
        m_sink.routeEvent(PeerEvent { std::move(effect.message) });
        return;
    }
    m_ports.peer.send(effect.to, effect.address, effect.message);
}

void EffectExecutor::start(PartIndex part, const StoreEffect& effect)
{
    PartSink& sink = m_sink;
    const CallId call = effect.call;
    m_ports.store.start(effect.request, [&sink, part, call](StoreReply reply) {
        sink.postTo(part, StoreEvent { call, std::move(reply) });
    });
}

void EffectExecutor::start(PartIndex part, const WorkerEffect& effect)
{
    PartSink& sink = m_sink;
    const CallId call = effect.call;
    const WorkerName worker = effect.worker;
    m_ports.worker.call(effect.worker, effect.address, effect.request,
        [&sink, part, call, worker](absl::StatusOr<WorkerReport> report) {
            WorkerEvent event { worker, call, report.status(), WorkerReport() };
            if (report.ok())
                event.report = *std::move(report);
            sink.postTo(part, std::move(event));
        });
}

void EffectExecutor::start(PartIndex part, const ReadVmListEffect& effect)
{
    PartSink& sink = m_sink;
    const DataCentreName dataCentre = effect.dataCentre;
    m_ports.vmList.read(dataCentre, [&sink, part, dataCentre](absl::StatusOr<std::vector<VmEntry>> entries) {
        VmListEvent event { dataCentre, entries.status(), {} };
        if (entries.ok())
            event.entries = *std::move(entries);
        sink.postTo(part, std::move(event));
    });
}

void EffectExecutor::start(PartIndex /*part*/, const AnswerEffect& effect)
{
    if (m_ports.caller != nullptr)
        m_ports.caller->answer(effect.caller, effect.answer, effect.isLast);
}

void EffectExecutor::start(PartIndex /*part*/, NotifyEffect&& effect)
{
    m_sink.postTo(effect.part, std::move(effect.event));
}

void EffectExecutor::start(PartIndex /*part*/, const DrainedEffect& /*effect*/)
{
    m_sink.handleDrained();
}

void EffectExecutor::start(PartIndex /*part*/, const ObservationEffect& effect)
{
    m_ports.observer.observe(effect);
}

} // namespace mangohall
