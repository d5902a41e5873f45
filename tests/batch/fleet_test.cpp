#include "batch/owner/fleet_base.h"

#include <algorithm>
#include <ctime>
#include <limits>

#include "absl/strings/str_cat.h"
#include "batch/worker_entry_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time begin = absl::FromUnixSeconds(1700000000);

class NoStarts : public StartSource {
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

// The looks that the effects hold, in order.
std::vector<CallId> callsIn(const Effects& effects)
{
    std::vector<CallId> calls;
    for (const Effect& effect : effects) {
        if (const auto* worker = std::get_if<WorkerEffect>(&effect))
            calls.push_back(worker->call);
    }
    return calls;
}

class FleetTest : public testing::Test {
protected:
    // Workers that have answered once and run nothing.
    void settle(int workers)
    {
        m_fleet.reset(1);
        m_fleet.takeRecords(workerRows(workers), true, begin);
        m_fleet.advance(m_source, m_outbox, begin);
        EXPECT_FALSE(m_fleet.isSettled());
        WorkerReply reply;
        reply.bornMs = 1000;
        reply.clock = 1000;
        for (std::vector<CallId> calls = callsIn(m_outbox.take()); !calls.empty(); calls = callsIn(m_outbox.take())) {
            for (const CallId call : calls)
                m_fleet.takeReply(call, reply, begin);
            m_fleet.advance(m_source, m_outbox, begin);
        }
    }

    // Processor time of events that each change one worker: the least of several tries, since other processes on the
    // machine lengthen it.
    double processorTimeOfEvents()
    {
        constexpr int tryCount = 9;
        constexpr int eventCount = 10000;
        double least = std::numeric_limits<double>::infinity();
        for (int count = 0; count < tryCount; ++count) {
            const std::clock_t start = std::clock();
            for (int events = 0; events < eventCount; ++events) {
                m_fleet.find(WorkerName("worker-7"));
                m_fleet.takeLapsed(begin);
                m_fleet.advance(m_source, m_outbox, begin);
                static_cast<void>(m_fleet.nextDue());
            }
            least = std::min(least, static_cast<double>(std::clock() - start));
        }
        return least;
    }

    NoStarts m_source;
    Outbox m_outbox;
    Fleet m_fleet { SessionSettings() };
};

TEST_F(FleetTest, IsSettledOnceEveryListedWorkerHasAnswered)
{
    settle(3);
    EXPECT_TRUE(m_fleet.isSettled());
    m_fleet.takeRecords(workerRows(4), false, begin);
    m_fleet.advance(m_source, m_outbox, begin);
    EXPECT_FALSE(m_fleet.isSettled());
}

TEST_F(FleetTest, ForgetsAWorkerThatIsNotListedAndRunsNothing)
{
    settle(3);
    m_fleet.takeRecords(workerRows(2), true, begin);
    m_fleet.advance(m_source, m_outbox, begin);
    EXPECT_EQ(m_fleet.sessions().size(), 2U);
}

TEST_F(FleetTest, LooksAgainAtAWorkerThatRunsSomething)
{
    settle(3);
    EXPECT_EQ(m_fleet.nextDue(), absl::InfiniteFuture());
    const RunKey run { { JobId("j"), { 0, 0, 0 } }, 1 };
    WorkerSession* session = m_fleet.find(WorkerName("worker-1"));
    session->reserve(run, { 1000, 1, 1 }, begin);
    session->release(run, begin);
    m_fleet.advance(m_source, m_outbox, begin);
    EXPECT_EQ(callsIn(m_outbox.take()).size(), 2U);
}

// Load: a new owner of three thousand workers.
TEST_F(FleetTest, LooksAtAFewNewWorkersAtATime)
{
    constexpr std::size_t workers = 3000;
    constexpr std::size_t mostAtATime = 64;
    m_fleet.reset(1);
    m_fleet.takeRecords(workerRows(workers), true, begin);
    m_fleet.advance(m_source, m_outbox, begin);
    std::vector<CallId> calls = callsIn(m_outbox.take());
    EXPECT_EQ(calls.size(), mostAtATime);
    WorkerReply reply;
    reply.bornMs = 1000;
    reply.clock = 1000;
    std::size_t answers = 0;
    while (!calls.empty()) {
        m_fleet.takeReply(calls.back(), reply, begin);
        calls.pop_back();
        ++answers;
        m_fleet.advance(m_source, m_outbox, begin);
        for (const CallId call : callsIn(m_outbox.take()))
            calls.push_back(call);
        EXPECT_LE(calls.size(), mostAtATime);
    }
    EXPECT_EQ(answers, workers);
    EXPECT_TRUE(m_fleet.isSettled());
}

// Workers that do not answer must not keep the others waiting for ever.
TEST_F(FleetTest, GivesEveryNewWorkerItsTurnBesideSilentOnes)
{
    constexpr int workers = 200;
    m_fleet.reset(1);
    m_fleet.takeRecords(workerRows(workers), true, begin);
    WorkerReply silence;
    silence.status = absl::UnavailableError("nothing came");
    std::size_t looks = 0;
    for (int second = 0; second < 5; ++second) {
        m_fleet.advance(m_source, m_outbox, begin + absl::Seconds(second));
        for (const CallId call : callsIn(m_outbox.take())) {
            m_fleet.takeReply(call, silence, begin + absl::Seconds(second));
            ++looks;
        }
    }
    EXPECT_GE(looks, static_cast<std::size_t>(workers));
    for (const auto& [name, session] : m_fleet.sessions())
        EXPECT_GT(session.nextDue(), begin) << name.str() << " was never looked at";
}

// Load: a thousand workers of which one has something to tell.
TEST_F(FleetTest, TakesNoLongerBesideQuietWorkers)
{
    // Searching takes a little longer among more workers; looking at each would take twenty times as long.
    constexpr double mostRatio = 4;
    settle(50);
    const double few = processorTimeOfEvents();
    settle(1000);
    EXPECT_LT(processorTimeOfEvents(), few * mostRatio);
}

} // namespace
} // namespace mangohall::batch
