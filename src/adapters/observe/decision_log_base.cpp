#include "adapters/observe/decision_log_base.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <system_error>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "log4cxx/asyncappender.h"
#include "log4cxx/consoleappender.h"
#include "log4cxx/logger.h"
#include "log4cxx/logmanager.h"
#include "log4cxx/patternlayout.h"
#include "nlohmann/json.hpp"

namespace mangohall::batch {

namespace {

// The limits on lines about single runs and requests, and on all others: lines per second, and lines at once.
constexpr double maxFrequentLinesPerSecond = 400;
constexpr double maxFrequentLinesAtOnce = 800;
constexpr double maxOtherLinesPerSecond = 100;
constexpr double maxOtherLinesAtOnce = 400;
// The capacity of the queue between the threads that log and the thread that writes.
constexpr int maxBufferedLines = 512;
// An allocation round that takes less time is counted but not logged.
constexpr absl::Duration slowAllocationThreshold = absl::Milliseconds(20);

// The names of `DecisionEffect::Kind`, in the order of its enumerators.
constexpr absl::string_view kindNames[] = { "submitted", "queried", "cancelled", "refused", "jobLearned", "jobEnded",
    "jobGuaranteed", "reclaimDue", "choiceMade", "runPlaced", "runEnded", "runEvicted", "runStopped", "workerFound",
    "workerLost", "ownershipTaken", "ownershipLost", "manifestTaken", "storeLost", "storeRegained", "recordUnreadable",
    "startSent", "startUnanswered", "startBarred", "workerListOld", "workerListCurrent", "renewalUnanswered",
    "recordRefused", "jobHeld", "guaranteeMet", "workerQuarantined", "evacuationBegun", "evacuationEnded",
    "evacuationsOld", "evacuationsCurrent", "runUnsettled", "jobDeferred", "ownerBehind" };

// Whether the decision is about a single run or request, of which a busy node handles hundreds a second.
bool isFrequent(DecisionEffect::Kind kind)
{
    using Kind = DecisionEffect::Kind;
    switch (kind) {
    case Kind::Submitted:
    case Kind::Queried:
    case Kind::Cancelled:
    case Kind::Refused:
    case Kind::JobAdded:
    case Kind::JobEnded:
    case Kind::JobDeferred:
    case Kind::RunPlaced:
    case Kind::RunEnded:
    case Kind::RunEvicted:
    case Kind::RunStopped:
    case Kind::WorkerFound:
    case Kind::WorkerLost:
    case Kind::StartSent:
    case Kind::StartUnanswered:
    case Kind::StartBarred:
    case Kind::RenewalUnanswered:
        return true;
    default:
        return false;
    }
}

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

void setOwnerLoad(nlohmann::json& line, const OwnerLoadStats& load)
{
    line["share"] = load.processorShare;
    line["wakeDelayMs"] = absl::ToInt64Milliseconds(load.wakeDelay);
    line["delayedCalls"] = load.delayedCalls;
    line["callDelayMs"] = absl::ToInt64Milliseconds(load.callDelay);
    line["pendingCalls"] = load.pendingCalls;
    line["unsentStarts"] = load.unsentStarts;
    line["oldestUnsentMs"] = absl::ToInt64Milliseconds(load.oldestUnsentStart);
}

void setUnlessInfinite(nlohmann::json& line, const char* field, absl::Duration duration)
{
    if (duration != absl::InfiniteDuration())
        line[field] = absl::ToInt64Milliseconds(duration);
}

void setStartTimes(nlohmann::json& line, const StartTimes& times)
{
    setUnlessInfinite(line, "learnedMs", times.added);
    setUnlessInfinite(line, "evictedMs", times.firstEviction);
    setUnlessInfinite(line, "placedMs", times.lastPlacement);
}

nlohmann::json toLine(const DecisionEffect& decision)
{
    nlohmann::json line = { { "event", std::string(kindNames[static_cast<std::size_t>(decision.kind)]) } };
    setUnlessEmpty(line, "job", decision.job);
    setUnlessEmpty(line, "run", decision.run);
    setUnlessEmpty(line, "worker", decision.worker);
    setUnlessEmpty(line, "queue", decision.queue);
    setUnlessEmpty(line, "organisation", decision.organisation);
    setUnlessEmpty(line, "dataCentre", decision.dataCentre);
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
    setUnlessInfinite(line, "ageMs", decision.age);
    setUnlessInfinite(line, "senderDelayMs", decision.senderDelay);
    if (decision.processorShare != 0)
        line["share"] = decision.processorShare;
    if (decision.ownerLoad)
        setOwnerLoad(line, *decision.ownerLoad);
    if (decision.allocation)
        setAllocation(line, *decision.allocation);
    if (decision.startTimes)
        setStartTimes(line, *decision.startTimes);
    return line;
}

// Drops the line if the library cannot write it, for example since the system refuses it a thread.
void writeLine(const nlohmann::json& line)
{
    constexpr int noIndent = -1;
    const std::string text = line.dump(noIndent, ' ', false, nlohmann::json::error_handler_t::replace);
    try {
        log4cxx::Logger::getRootLogger()->forcedLog(
            log4cxx::Level::getInfo(), text, log4cxx::spi::LocationInfo::getLocationUnavailable());
    } catch (const std::exception&) {
        return;
    }
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

bool finishLineLogging(absl::Duration timeout)
{
    const auto isFinished = std::make_shared<absl::Notification>();
    try {
        std::thread([isFinished] {
            log4cxx::LogManager::shutdown();
            isFinished->Notify();
        }).detach();
    } catch (const std::system_error&) {
        return false;
    }
    return isFinished->WaitForNotificationWithTimeout(timeout);
}

DecisionLog::DecisionLog(NodeName self, const Clock& clock)
    : m_self(std::move(self))
    , m_clock(clock)
    , m_frequentLines(maxFrequentLinesPerSecond, maxFrequentLinesAtOnce, clock.now())
    , m_otherLines(maxOtherLinesPerSecond, maxOtherLinesAtOnce, clock.now())
{
    static_assert(std::size(kindNames) == kindCount);
}

void DecisionLog::observe(const DecisionEffect& decision)
{
    count(decision);
    if (decision.allocation && decision.age < slowAllocationThreshold)
        return;
    const absl::Time now = m_clock.now();
    if (mayWriteLine(isFrequent(decision.kind), now))
        write(toLine(decision), now);
}

void DecisionLog::observeEvent(const EventTiming& timing)
{
    const absl::Time now = m_clock.now();
    const absl::optional<SlowEventReport> report = m_eventLoad.add(timing, now);
    if (!report || !mayWriteLine(false, now))
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

bool DecisionLog::mayWriteLine(bool isFrequent, absl::Time now)
{
    absl::MutexLock lock(&m_rateMutex);
    TokenBucket& lines = isFrequent ? m_frequentLines : m_otherLines;
    if (lines.tryTake(now))
        return true;
    ++m_droppedLines;
    return false;
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
