#include "batch/owner/worker_registry_base.h"

#include <algorithm>
#include <ctime>
#include <limits>
#include <variant>

#include "absl/strings/str_cat.h"
#include "batch/worker_entry_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time begin = absl::FromUnixSeconds(1700000000);

// Starts without payload and checkpoint.
class EmptyStartSource : public StartSource {
public:
    StartRun describeStart(const RunKey& run) const override { return { run, "", "" }; }
};

std::vector<Record> workerRows(int count)
{
    std::vector<Record> rows;
    for (int worker = 0; worker < count; ++worker) {
        const WorkerEntry entry = makeWorkerEntry(absl::StrCat("worker-", worker));
        Record row;
        row.key = { Collection::Workers, entry.name.str() };
        row.value = entry;
        row.revision = 1;
        rows.push_back(row);
    }
    return rows;
}

CollectionUpdate workerList(int count)
{
    CollectionUpdate list;
    list.isComplete = true;
    list.records = workerRows(count);
    return list;
}

// The calls to workers among the effects, in order.
std::vector<CallId> callsIn(const Effects& effects)
{
    std::vector<CallId> calls;
    for (const Effect& effect : effects) {
        if (const auto* worker = std::get_if<WorkerEffect>(&effect))
            calls.push_back(worker->call);
    }
    return calls;
}

class WorkerRegistryTest : public testing::Test {
protected:
    // Adds workers that have replied once and run nothing.
    void settle(int workers)
    {
        m_workers.reset(1, begin);
        m_workers.applyRecords(workerList(workers), begin);
        m_workers.advance(m_source, m_outbox, begin);
        EXPECT_FALSE(m_workers.hasEveryWorkerAnswered());
        WorkerReply reply;
        reply.processStartMs = 1000;
        reply.clock = 1000;
        for (std::vector<CallId> calls = callsIn(m_outbox.take()); !calls.empty(); calls = callsIn(m_outbox.take())) {
            for (const CallId call : calls)
                m_workers.handleReply(call, reply, begin);
            m_workers.advance(m_source, m_outbox, begin);
        }
    }

    // The processor time of events that each change one worker: the smallest of several measurements, since other
    // processes on the machine lengthen it.
    double processorTimeOfEvents()
    {
        constexpr int tryCount = 9;
        constexpr int eventCount = 10000;
        double least = std::numeric_limits<double>::infinity();
        for (int count = 0; count < tryCount; ++count) {
            const std::clock_t start = std::clock();
            for (int events = 0; events < eventCount; ++events) {
                m_workers.find(WorkerName("worker-7"));
                m_workers.takeLapsedRuns(begin);
                m_workers.advance(m_source, m_outbox, begin);
                static_cast<void>(m_workers.nextDue());
            }
            least = std::min(least, static_cast<double>(std::clock() - start));
        }
        return least;
    }

    EmptyStartSource m_source;
    Outbox m_outbox;
    WorkerRegistry m_workers { SessionSettings() };
};

TEST_F(WorkerRegistryTest, KnowsWhetherEveryListedWorkerHasAnswered)
{
    settle(3);
    EXPECT_TRUE(m_workers.hasEveryWorkerAnswered());
    CollectionUpdate changes;
    changes.records = workerRows(4);
    m_workers.applyRecords(changes, begin);
    m_workers.advance(m_source, m_outbox, begin);
    EXPECT_FALSE(m_workers.hasEveryWorkerAnswered());
}

TEST_F(WorkerRegistryTest, RemovesAWorkerThatIsNotListedAndRunsNothing)
{
    settle(3);
    m_workers.applyRecords(workerList(2), begin);
    m_workers.advance(m_source, m_outbox, begin);
    EXPECT_EQ(m_workers.sessions().size(), 2U);
}

TEST_F(WorkerRegistryTest, PollsAWorkerThatRunsSomething)
{
    settle(3);
    EXPECT_EQ(m_workers.nextDue(), absl::InfiniteFuture());
    const RunKey run { { JobId("j"), { 0, 0, 0 } }, 1 };
    WorkerSession* session = m_workers.find(WorkerName("worker-1"));
    session->reserve(run, { 1000, 1, 1 }, begin);
    session->release(run, begin);
    m_workers.advance(m_source, m_outbox, begin);
    EXPECT_EQ(callsIn(m_outbox.take()).size(), 2U);
}

// Guards against an order of a process that was suspended after it had decided, and is no longer the owner.
TEST_F(WorkerRegistryTest, NamesInEachCallUntilWhenTheNodeOwnsTheWorkers)
{
    settle(1);
    const RunKey run { { JobId("j"), { 0, 0, 0 } }, 1 };
    WorkerSession* session = m_workers.find(WorkerName("worker-0"));
    session->reserve(run, { 1000, 1, 1 }, begin);
    session->release(run, begin);
    const absl::Time ownedUntil = begin + absl::Seconds(2);
    m_workers.setOwnedUntil(ownedUntil);
    m_workers.advance(m_source, m_outbox, begin);
    int calls = 0;
    for (const Effect& effect : m_outbox.take()) {
        const auto* call = std::get_if<WorkerEffect>(&effect);
        if (call == nullptr)
            continue;
        ++calls;
        EXPECT_EQ(call->request.sendUntil, ownedUntil);
    }
    EXPECT_EQ(calls, 2);
}

// Guards against polls that take more of the processor the more workers run something. Load: a thousand busy workers.
TEST_F(WorkerRegistryTest, PollsManyBusyWorkersLessOften)
{
    constexpr int workers = 1000;
    constexpr int mostPollsPerSecond = 600;
    settle(workers);
    for (int worker = 0; worker < workers; ++worker) {
        const RunKey run { { JobId(absl::StrCat("j", worker)), { 0, 0, 0 } }, 1 };
        WorkerSession* session = m_workers.find(WorkerName(absl::StrCat("worker-", worker)));
        session->reserve(run, { 1000, 1, 1 }, begin);
        session->release(run, begin);
    }
    int polls = 0;
    absl::Duration longestWait;
    m_workers.advance(m_source, m_outbox, begin);
    for (const Effect& effect : m_outbox.take()) {
        const auto* call = std::get_if<WorkerEffect>(&effect);
        const auto* poll = call == nullptr ? nullptr : std::get_if<PollRuns>(&call->request.command);
        if (poll == nullptr)
            continue;
        ++polls;
        longestWait = std::max(longestWait, poll->wait);
    }
    EXPECT_EQ(polls, workers);
    EXPECT_LT(workers / absl::ToDoubleSeconds(longestWait), mostPollsPerSecond);
}

// Guards against a new owner that polls all workers at once. Load: three thousand workers.
TEST_F(WorkerRegistryTest, PollsAFewNewWorkersAtATime)
{
    constexpr std::size_t workers = 3000;
    constexpr std::size_t mostAtATime = 64;
    m_workers.reset(1, begin);
    m_workers.applyRecords(workerList(workers), begin);
    m_workers.advance(m_source, m_outbox, begin);
    std::vector<CallId> calls = callsIn(m_outbox.take());
    EXPECT_EQ(calls.size(), mostAtATime);
    WorkerReply reply;
    reply.processStartMs = 1000;
    reply.clock = 1000;
    std::size_t answers = 0;
    while (!calls.empty()) {
        m_workers.handleReply(calls.back(), reply, begin);
        calls.pop_back();
        ++answers;
        m_workers.advance(m_source, m_outbox, begin);
        for (const CallId call : callsIn(m_outbox.take()))
            calls.push_back(call);
        EXPECT_LE(calls.size(), mostAtATime);
    }
    EXPECT_EQ(answers, workers);
    EXPECT_TRUE(m_workers.hasEveryWorkerAnswered());
}

// Guards against workers that are never polled because others do not reply.
TEST_F(WorkerRegistryTest, PollsEveryNewWorkerBesideOnesThatDoNotReply)
{
    constexpr int workers = 200;
    m_workers.reset(1, begin);
    m_workers.applyRecords(workerList(workers), begin);
    WorkerReply noReply;
    noReply.status = absl::UnavailableError("nothing came");
    std::size_t polls = 0;
    for (int second = 0; second < 5; ++second) {
        m_workers.advance(m_source, m_outbox, begin + absl::Seconds(second));
        for (const CallId call : callsIn(m_outbox.take())) {
            m_workers.handleReply(call, noReply, begin + absl::Seconds(second));
            ++polls;
        }
    }
    EXPECT_GE(polls, static_cast<std::size_t>(workers));
    for (const auto& [name, session] : m_workers.sessions())
        EXPECT_GT(session.nextDue(), begin) << name.str() << " was never polled";
}

// Guards against a cost of each event that grows with the number of workers. Load: a thousand workers of which one has
// a change.
TEST_F(WorkerRegistryTest, TakesNoLongerBesideIdleWorkers)
{
    // A search among more workers takes slightly longer; examining each of them would take twenty times as long.
    constexpr double mostRatio = 4;
    settle(50);
    const double few = processorTimeOfEvents();
    settle(1000);
    EXPECT_LT(processorTimeOfEvents(), few * mostRatio);
}

} // namespace
} // namespace mangohall::batch
