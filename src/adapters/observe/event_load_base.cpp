#include "adapters/observe/event_load_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/node/node_base.h"

namespace mangohall::batch {

namespace {

// The names of the alternatives of `Event`, in their order.
constexpr absl::string_view kindNames[] = { "wake", "store", "worker", "caller", "routes", "drain", "partDrained" };
// The names of the roles of parts; all caller parts have the role "desk".
constexpr absl::string_view roleNames[] = { "directory", "owner", "desk" };
static_assert(std::size(kindNames) == std::variant_size_v<Event>);
static_assert(directoryPart == 0 && ownerPart == 1 && firstCallerPart + 1 == std::size(roleNames));

// An event is slow if it waits this long, or if deciding on it or starting its effects takes this long.
constexpr absl::Duration slowEventThreshold = absl::Milliseconds(100);
// The shortest time between two reports on parts of the same role.
constexpr absl::Duration minReportInterval = absl::Milliseconds(200);

// The index in `roleNames`.
std::size_t roleOf(PartIndex part)
{
    return std::min(part, firstCallerPart);
}

} // namespace

absl::optional<SlowEventReport> EventLoad::add(const EventTiming& timing, absl::Time now)
{
    const std::size_t role = roleOf(timing.part);
    Shard& shard = m_shards[role];
    absl::MutexLock lock(&shard.mutex);
    Series& series = shard.series[timing.kind];
    series.waitTimes.add(timing.waitTime);
    series.decisionTimes.add(timing.decisionTime);
    series.effectTimes.add(timing.effectsTime);
    if (std::max({ timing.waitTime, timing.decisionTime, timing.effectsTime }) < slowEventThreshold)
        return absl::nullopt;
    ++shard.slowEvents;
    if (now < shard.reportedAt + minReportInterval)
        return absl::nullopt;
    shard.reportedAt = now;
    return SlowEventReport { roleNames[role], kindNames[timing.kind], timing, std::exchange(shard.slowEvents, 0) };
}

void EventLoad::appendTo(std::string& text) const
{
    absl::StrAppend(&text, "# TYPE mangohall_event_wait_seconds histogram\n",
        "# TYPE mangohall_event_decision_seconds histogram\n", "# TYPE mangohall_event_effects_seconds histogram\n");
    for (std::size_t role = 0; role < roleCount; ++role) {
        const Shard& shard = m_shards[role];
        absl::MutexLock lock(&shard.mutex);
        for (std::size_t kind = 0; kind < kindCount; ++kind) {
            const Series& series = shard.series[kind];
            const std::string labels = absl::StrCat("part=\"", roleNames[role], "\",event=\"", kindNames[kind], "\"");
            series.waitTimes.appendTo(text, "mangohall_event_wait_seconds", labels);
            series.decisionTimes.appendTo(text, "mangohall_event_decision_seconds", labels);
            series.effectTimes.appendTo(text, "mangohall_event_effects_seconds", labels);
        }
    }
}

} // namespace mangohall::batch
