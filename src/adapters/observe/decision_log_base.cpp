#include "adapters/observe/decision_log_base.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "log4cxx/asyncappender.h"
#include "log4cxx/consoleappender.h"
#include "log4cxx/logger.h"
#include "log4cxx/patternlayout.h"
#include "nlohmann/json.hpp"

namespace mangohall::batch {

namespace {

// The token bucket that limits the rate of lines: its refill rate and its capacity in lines.
constexpr double maxLinesPerSecond = 400;
constexpr double maxBurstLines = 800;
// The capacity of the queue between the threads that log and the thread that writes.
constexpr int maxBufferedLines = 512;
// An allocation round that takes less time is counted but not logged.
constexpr absl::Duration slowAllocationThreshold = absl::Milliseconds(20);

// The names of `DecisionEffect::Kind`, in the order of its enumerators.
constexpr absl::string_view kindNames[] = { "submitted", "queried", "cancelled", "refused", "jobLearned", "jobEnded",
    "jobGuaranteed", "reclaimDue", "choiceMade", "runPlaced", "runEnded", "runEvicted", "runStopped", "workerFound",
    "workerLost", "ownershipTaken", "ownershipLost", "manifestTaken", "storeLost", "storeRegained", "recordUnreadable",
    "startSent", "startUnanswered", "startBarred", "workerListOld", "workerListCurrent", "renewalUnanswered",
    "recordRefused" };

void setUnlessEmpty(nlohmann::json& line, const char* field, const std::string& text)
{
    if (!text.empty())
        line[field] = text;
}

void setAllocation(nlohmann::json& line, const AllocationStats& allocation)
{
    line["workers"] = allocation.workers;
    line["steps"] = allocation.steps;
    line["placed"] = allocation.placed;
    line["evicted"] = allocation.evicted;
    line["roomsTried"] = allocation.workersExamined;
    line["jobsAgeMs"] = absl::ToInt64Milliseconds(allocation.jobsAge);
}

nlohmann::json toLine(const DecisionEffect& decision)
{
    nlohmann::json line = { { "event", std::string(kindNames[static_cast<std::size_t>(decision.kind)]) } };
    setUnlessEmpty(line, "job", decision.job);
    setUnlessEmpty(line, "run", decision.run);
    setUnlessEmpty(line, "worker", decision.worker);
    setUnlessEmpty(line, "queue", decision.queue);
    setUnlessEmpty(line, "organisation", decision.organisation);
    setUnlessEmpty(line, "outcome", decision.outcome);
    setUnlessEmpty(line, "reason", decision.reason);
    if (decision.epoch != 0)
        line["epoch"] = decision.epoch;
    if (decision.version != 0)
        line["version"] = decision.version;
    if (decision.workerProcessStartMs != 0)
        line["workerProcess"] = decision.workerProcessStartMs;
    if (decision.rowProcessStartMs != 0)
        line["entryProcess"] = decision.rowProcessStartMs;
    if (decision.age != absl::InfiniteDuration())
        line["ageMs"] = absl::ToInt64Milliseconds(decision.age);
    if (decision.allocation)
        setAllocation(line, *decision.allocation);
    return line;
}

void writeLine(const nlohmann::json& line)
{
    constexpr int noIndent = -1;
    const std::string text = line.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
    log4cxx::Logger::getRootLogger()->forcedLog(
        log4cxx::Level::getInfo(), text, log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace

void setUpLineLogging()
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxBufferedLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(queue);
    root->setLevel(log4cxx::Level::getInfo());
}

DecisionLog::DecisionLog(NodeName self, const Clock& clock)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_lineTokens(maxBurstLines)
    , m_refilledAt(clock.now())
{
    static_assert(std::size(kindNames) == kindCount);
}

void DecisionLog::observe(const DecisionEffect& decision)
{
    count(decision);
    if (decision.allocation && decision.age < slowAllocationThreshold)
        return;
    const absl::Time now = m_clock.now();
    if (tryConsumeLineToken(now))
        write(toLine(decision), now);
}

void DecisionLog::observeEvent(const EventTiming& timing)
{
    const absl::Time now = m_clock.now();
    const absl::optional<SlowEventReport> report = m_eventLoad.add(timing, now);
    if (!report || !tryConsumeLineToken(now))
        return;
    write({ { "event", "partBehind" }, { "part", std::string(report->part) },
              { "kind", std::string(report->eventKind) }, { "waitedMs", absl::ToInt64Milliseconds(timing.waitTime) },
              { "decisionMs", absl::ToInt64Milliseconds(timing.decisionTime) },
              { "effectsMs", absl::ToInt64Milliseconds(timing.effectsTime) }, { "queued", timing.queuedEvents },
              { "events", report->slowEvents } },
        now);
}

void DecisionLog::write(nlohmann::json line, absl::Time now) const
{
    line["node"] = m_self.str();
    line["timeMs"] = absl::ToUnixMillis(now);
    writeLine(line);
}

void DecisionLog::logProcessEvent(absl::string_view event, absl::string_view detail)
{
    writeLine({ { "event", std::string(event) }, { "reason", std::string(detail) }, { "node", m_self.str() },
        { "timeMs", absl::ToUnixMillis(m_clock.now()) } });
}

bool DecisionLog::tryConsumeLineToken(absl::Time now)
{
    absl::MutexLock lock(&m_rateMutex);
    const double newTokens = absl::ToDoubleSeconds(now - m_refilledAt) * maxLinesPerSecond;
    m_lineTokens = std::min(maxBurstLines, m_lineTokens + newTokens);
    m_refilledAt = now;
    if (m_lineTokens < 1) {
        ++m_droppedLines;
        return false;
    }
    m_lineTokens -= 1;
    return true;
}

void DecisionLog::count(const DecisionEffect& decision)
{
    Shard& shard = m_shards[static_cast<std::size_t>(decision.kind)];
    absl::MutexLock lock(&shard.mutex);
    ++shard.series.outcomes[decision.outcome];
    if (decision.age == absl::InfiniteDuration())
        return;
    shard.series.durations.add(decision.age);
}

std::string DecisionLog::metricsText() const
{
    std::string text = "# TYPE mangohall_decisions counter\n# TYPE mangohall_decision_seconds histogram\n";
    for (std::size_t kind = 0; kind < kindCount; ++kind) {
        const Shard& shard = m_shards[kind];
        absl::MutexLock lock(&shard.mutex);
        const Series& series = shard.series;
        for (const auto& [outcome, decisionCount] : series.outcomes)
            absl::StrAppend(&text, "mangohall_decisions{kind=\"", kindNames[kind], "\",outcome=\"", outcome, "\"} ",
                decisionCount, "\n");
        series.durations.appendTo(text, "mangohall_decision_seconds", absl::StrCat("kind=\"", kindNames[kind], "\""));
    }
    m_eventLoad.appendTo(text);
    absl::MutexLock lock(&m_rateMutex);
    absl::StrAppend(&text, "mangohall_log_lines_dropped ", m_droppedLines, "\n");
    return text;
}

} // namespace mangohall::batch
