#include "adapters/observe/event_load_base.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/node/node_base.h"

namespace mangohall::batch {

namespace {

// In the order of the alternatives of `Event`.
constexpr absl::string_view kindNames[] = { "wake", "store", "worker", "caller", "routes", "drain", "partDrained" };
constexpr absl::string_view roleNames[] = { "directory", "owner", "desk" };
static_assert(std::size(kindNames) == std::variant_size_v<Event>);
static_assert(directoryPart == 0 && ownerPart == 1 && firstDeskPart + 1 == std::size(roleNames));

// An event that has waited or taken so long is worth a line.
constexpr absl::Duration behindTime = absl::Milliseconds(100);
// A part that is behind is told of this often.
constexpr absl::Duration linePeriod = absl::Milliseconds(200);

std::size_t roleOf(PartIndex part)
{
    return std::min(part, firstDeskPart);
}

} // namespace

absl::optional<PartBehind> EventLoad::add(const EventTiming& timing, absl::Time now)
{
    const std::size_t role = roleOf(timing.part);
    Shard& shard = m_shards[role];
    absl::MutexLock lock(&shard.mutex);
    Series& series = shard.series[timing.kind];
    series.waited.add(timing.waited);
    series.handled.add(timing.handled);
    series.carriedOut.add(timing.carriedOut);
    if (std::max({ timing.waited, timing.handled, timing.carriedOut }) < behindTime)
        return absl::nullopt;
    ++shard.behind;
    if (now < shard.toldAt + linePeriod)
        return absl::nullopt;
    shard.toldAt = now;
    return PartBehind { roleNames[role], kindNames[timing.kind], timing, std::exchange(shard.behind, 0) };
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
            series.waited.appendTo(text, "mangohall_event_wait_seconds", labels);
            series.handled.appendTo(text, "mangohall_event_decision_seconds", labels);
            series.carriedOut.appendTo(text, "mangohall_event_effects_seconds", labels);
        }
    }
}

} // namespace mangohall::batch
