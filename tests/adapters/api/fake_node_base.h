// Hand-written fakes of the ports behind the front end. FakeSink replaces the node: it records the events, and the
// test sends the answers.
#pragma once

#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "adapters/observe/report_source_port.h"
#include "ports/clock_port.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Records the posted events.
class FakeSink : public EventSink {
public:
    void post(Event event) override
    {
        absl::MutexLock lock(&m_mutex);
        m_events.push_back(std::move(event));
    }

    // Waits until `count` events have been posted and returns the event with that number, counted from 1.
    Event await(std::size_t count)
    {
        absl::MutexLock lock(&m_mutex);
        const auto isThere
            = [this, count]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_events.size() >= count; };
        m_mutex.Await(absl::Condition(&isThere));
        return m_events[count - 1];
    }

    // Like `await`, for an event that is a request of a caller.
    CallerEvent awaitCall(std::size_t count) { return std::get<CallerEvent>(await(count)); }

    std::size_t count()
    {
        absl::MutexLock lock(&m_mutex);
        return m_events.size();
    }

private:
    absl::Mutex m_mutex;
    std::vector<Event> m_events ABSL_GUARDED_BY(m_mutex);
};

// Returns fixed reports.
class FakeReports : public ReportSource {
public:
    std::string metricsText() const override { return "mangohall_up 1\n"; }
    nlohmann::json burnReport() const override { return { { "objectives", nlohmann::json::array() } }; }
    std::string burnPage() const override { return "<html></html>"; }
};

// Always returns the same time.
class StoppedClock : public Clock {
public:
    absl::Time now() const override { return absl::FromUnixSeconds(1000); }
};

} // namespace mangohall
