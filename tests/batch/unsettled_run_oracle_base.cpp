#include "batch/unsettled_run_oracle_base.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "batch/owner/run_name_func.h"

namespace mangohall::batch {

namespace {

// The sum of the bounds in docs/DESIGN.md for a run on one worker. Its start is given up after 8 s, the last call fails
// after 0.8 s, and a list settles it 12.5 s later. The worker may fall silent just before: its last poll fails after
// 2.8 s, and is executed within 12.5 s, which grants the longest lease of 10.55 s.
constexpr absl::Duration longestUnsettled = absl::Milliseconds(8000 + 800 + 12500 + 2800 + 12500 + 10550);
// The checks are a second apart, and an end has to be written.
constexpr absl::Duration observationDelay = absl::Seconds(2);

} // namespace

bool UnsettledRunOracle::isRunning(const RunKey& run) const
{
    const std::vector<RecordedRun>& runs = m_cluster.workers().recordedRuns();
    return std::any_of(runs.begin(), runs.end(),
        [&run](const RecordedRun& recorded) { return recorded.run == run && recorded.end == absl::InfiniteFuture(); });
}

void UnsettledRunOracle::checkRun(const RunKey& run, std::vector<std::string>& violations)
{
    if (isRunning(run))
        return;
    m_seen.insert(run);
    const absl::Time now = m_cluster.timeline().now();
    const absl::Duration unsettled = now - m_unsettledSince.try_emplace(run, now).first->second;
    if (unsettled <= longestUnsettled + observationDelay || !m_reported.insert(run).second)
        return;
    violations.push_back(absl::StrCat(run.task.job.text(), " ", runName(run), " runs nowhere and is not settled after ",
        absl::FormatDuration(unsettled)));
}

std::vector<std::string> UnsettledRunOracle::check()
{
    std::vector<std::string> violations;
    if (m_cluster.owner() == -1 || m_cluster.owner() != m_owner) {
        m_owner = m_cluster.owner();
        m_unsettledSince.clear();
        return violations;
    }
    m_seen.clear();
    for (const Record& record : m_cluster.store().list(Collection::Progress)) {
        const auto* progress = std::get_if<ProgressRecord>(&record.value);
        if (progress == nullptr || progress->endedAt != absl::InfiniteFuture())
            continue;
        for (const OccurrenceProgress& occurrence : progress->occurrences) {
            for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
                const TaskList& tasks = occurrence.steps[step].tasks;
                for (std::size_t index = 0; index < tasks.size(); ++index) {
                    if (tasks[index].phase != TaskProgress::Phase::Placed)
                        continue;
                    const TaskRef task { occurrence.number, static_cast<std::int32_t>(step),
                        static_cast<std::int32_t>(index) };
                    checkRun({ { JobId(record.key.name), task }, tasks[index].attempt }, violations);
                }
            }
        }
    }
    for (auto it = m_unsettledSince.begin(); it != m_unsettledSince.end();)
        it = m_seen.contains(it->first) ? std::next(it) : m_unsettledSince.erase(it);
    return violations;
}

} // namespace mangohall::batch
