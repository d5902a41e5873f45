#include "adapters/batch_runtime/batch_runtime_base.h"

#include <utility>

namespace mangohall::batch {

BatchRuntime::BatchRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, std::size_t threadCount)
    : m_node(node)
    , m_clock(clock)
    , m_ports(ports)
    , m_threads(*this, clock, node.partCount(), threadCount)
{
}

BatchRuntime::~BatchRuntime()
{
    stop();
}

void BatchRuntime::start()
{
    for (PartIndex part = 0; part < m_threads.partCount(); ++part)
        wakePart(part);
    m_threads.start();
}

void BatchRuntime::stop()
{
    m_threads.stop();
}

void BatchRuntime::post(CallerEvent event)
{
    const PartIndex callerPart = m_node.callerPartFor(event.request.path);
    enqueue(callerPart, std::move(event));
}

void BatchRuntime::drain()
{
    enqueue(directoryPart, DrainEvent());
}

bool BatchRuntime::waitUntilDrained(absl::Duration timeout)
{
    absl::MutexLock lock(&m_drainMutex);
    return m_drainMutex.AwaitWithTimeout(absl::Condition(&m_isDrained), timeout);
}

void BatchRuntime::wakePart(PartIndex part)
{
    enqueue(part, WakeEvent());
}

void BatchRuntime::enqueue(PartIndex part, Event event)
{
    m_threads.post(part, QueuedEvent { std::move(event), m_clock.now() });
}

void BatchRuntime::handleEvent(PartIndex part, const QueuedEvent& queued)
{
    const absl::Time startedAt = m_clock.now();
    const Effects effects = m_node.handle(part, queued.event, startedAt);
    const absl::Time decidedAt = m_clock.now();
    for (const Effect& effect : effects)
        std::visit([this, part](const auto& alternative) { execute(part, alternative); }, effect);
    EventTiming timing;
    timing.part = part;
    timing.kind = queued.event.index();
    timing.waitTime = startedAt - queued.queuedAt;
    timing.decisionTime = decidedAt - startedAt;
    timing.effectsTime = m_clock.now() - decidedAt;
    timing.queuedEvents = m_threads.queuedEvents();
    m_ports.observer.observeEvent(timing);
}

void BatchRuntime::execute(PartIndex part, const WakeAtEffect& effect)
{
    m_threads.wakeAt(part, effect.at);
}

void BatchRuntime::execute(PartIndex part, const StoreEffect& effect)
{
    const CallId call = effect.call;
    m_ports.store.start(effect.request, effect.timeout, [this, part, call](StoreReply reply) {
        enqueue(part, StoreEvent { call, std::move(reply) });
    });
}

void BatchRuntime::execute(PartIndex part, const WorkerEffect& effect)
{
    const CallId call = effect.call;
    m_ports.worker.call(effect.request, [this, part, call](WorkerReply reply) {
        enqueue(part, WorkerEvent { call, std::move(reply) });
    });
}

void BatchRuntime::execute(PartIndex /*part*/, const AnswerEffect& effect)
{
    m_ports.caller.answer(effect.caller, effect.answer);
}

void BatchRuntime::execute(PartIndex /*part*/, const NotifyEffect& effect)
{
    enqueue(effect.part, effect.event);
}

void BatchRuntime::execute(PartIndex /*part*/, const ReadyEffect& effect)
{
    m_ports.caller.setReady(effect.isReady);
}

void BatchRuntime::execute(PartIndex /*part*/, const DrainedEffect& /*effect*/)
{
    absl::MutexLock lock(&m_drainMutex);
    m_isDrained = true;
}

void BatchRuntime::execute(PartIndex /*part*/, const DecisionEffect& effect)
{
    m_ports.observer.observe(effect);
}

} // namespace mangohall::batch
