// A node that records the events it handles and returns the effects that a test's handler gives.
#pragma once

#include <functional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "node/node_base.h"

namespace mangohall {

// An event that a part of a FakeNode has handled.
struct HandledEvent {
    PartIndex part = 0;
    Event event;
    absl::Time now;
};

// Safe to call from several threads. The wake events that the runtime sends at the start are recorded too.
class FakeNode : public Node {
public:
    // Returns the effects of an event. Called by several threads at a time.
    using Handler = std::function<Effects(PartIndex, const Event&)>;

    FakeNode(std::size_t partCount, Handler handler)
        : m_partCount(partCount)
        , m_handler(std::move(handler))
    {
    }

    std::size_t partCount() const override { return m_partCount; }

    // Distributes caller events over all parts by the caller's id. Every other event goes to the last part.
    PartIndex partFor(const Event& event) const override
    {
        const auto* caller = std::get_if<CallerEvent>(&event);
        return caller == nullptr ? m_partCount - 1 : caller->caller % m_partCount;
    }

    Effects handle(PartIndex part, const Event& event, absl::Time now) override
    {
        Effects effects = m_handler(part, event);
        absl::MutexLock lock(&m_mutex);
        m_handled.push_back({ part, event, now });
        return effects;
    }

    // Blocks until the node has handled this many events, then returns all events handled so far.
    std::vector<HandledEvent> waitForEvents(std::size_t count)
    {
        absl::MutexLock lock(&m_mutex);
        const auto hasEnough = [this, count]() ABSL_NO_THREAD_SAFETY_ANALYSIS { return m_handled.size() >= count; };
        m_mutex.Await(absl::Condition(&hasEnough));
        return m_handled;
    }

private:
    const std::size_t m_partCount;
    const Handler m_handler;
    absl::Mutex m_mutex;
    std::vector<HandledEvent> m_handled ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall
