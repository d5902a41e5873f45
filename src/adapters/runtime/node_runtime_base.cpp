#include "adapters/runtime/node_runtime_base.h"

#include <utility>

namespace mangohall {

namespace {

// The part that receives the request to drain the node.
constexpr PartIndex directoryPart = 0;

} // namespace

NodeRuntime::NodeRuntime(Node& node, const Clock& clock, const RuntimePorts& ports, const RuntimeSettings& settings)
    : m_node(node)
    , m_clock(clock)
    , m_threads(*this, clock, node.partCount(), settings.workerThreads)
    , m_executor(settings.self, ports, *this)
{
}

NodeRuntime::~NodeRuntime()
{
    stop();
}

void NodeRuntime::start()
{
    for (PartIndex part = 0; part < m_threads.partCount(); ++part)
        wakePart(part);
    m_threads.start();
}

void NodeRuntime::stop()
{
    m_threads.stop();
}

void NodeRuntime::post(Event event)
{
    const PartIndex part = m_node.partFor(event);
    postTo(part, std::move(event));
}

void NodeRuntime::drain()
{
    postTo(directoryPart, DrainEvent());
}

bool NodeRuntime::waitUntilDrained(absl::Duration timeout)
{
    absl::MutexLock lock(&m_drainMutex);
    return m_drainMutex.AwaitWithTimeout(absl::Condition(&m_isDrained), timeout);
}

void NodeRuntime::recheckTimers()
{
    m_threads.recheckTimers();
}

RuntimeCounters NodeRuntime::counters() const
{
    RuntimeCounters counters;
    counters.events = m_events.load(std::memory_order_relaxed);
    counters.effects = m_effects.load(std::memory_order_relaxed);
    counters.queuedEvents = m_threads.queuedEvents();
    return counters;
}

void NodeRuntime::postTo(PartIndex part, Event event)
{
    m_threads.post(part, std::move(event));
}

void NodeRuntime::routeEvent(Event event)
{
    post(std::move(event));
}

void NodeRuntime::wakeAt(PartIndex part, absl::Time at)
{
    m_threads.wakeAt(part, at);
}

void NodeRuntime::handleDrained()
{
    absl::MutexLock lock(&m_drainMutex);
    m_isDrained = true;
}

void NodeRuntime::wakePart(PartIndex part)
{
    postTo(part, WakeEvent());
}

void NodeRuntime::handleEvent(PartIndex part, const Event& event)
{
    m_events.fetch_add(1, std::memory_order_relaxed);
    Effects effects = m_node.handle(part, event, m_clock.now());
    m_effects.fetch_add(effects.size(), std::memory_order_relaxed);
    for (Effect& effect : effects)
        m_executor.execute(part, std::move(effect));
}

} // namespace mangohall
