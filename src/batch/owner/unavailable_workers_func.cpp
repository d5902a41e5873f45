#include "batch/owner/unavailable_workers_func.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace mangohall::batch {

namespace {

void addCount(std::string& text, int count, absl::string_view name)
{
    if (count > 0)
        absl::StrAppend(&text, text.empty() ? "" : ", ", count, " ", name);
}

} // namespace

std::string describeUnavailable(const WorkerRegistry& workers, absl::Time now)
{
    int silent = 0;
    int closed = 0;
    int paused = 0;
    int quarantined = 0;
    for (const auto& [name, session] : workers.sessions()) {
        const WorkerAvailability availability = session.availability(now);
        silent += availability == WorkerAvailability::Silent ? 1 : 0;
        closed += availability == WorkerAvailability::Closed ? 1 : 0;
        paused += availability == WorkerAvailability::Paused ? 1 : 0;
        const bool isAvailable = availability == WorkerAvailability::Available;
        quarantined += isAvailable && session.health().isQuarantined(now) ? 1 : 0;
    }
    std::string text;
    addCount(text, silent, "silent");
    addCount(text, closed, "draining or evacuated");
    addCount(text, paused, "paused");
    addCount(text, quarantined, "quarantined");
    return text;
}

} // namespace mangohall::batch
