#include "standins/worker/worker_state_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

const ShardName shard("ct-a-0");
constexpr absl::Duration lease = absl::Seconds(30);
constexpr absl::Duration shortLease = absl::Seconds(3);

class PausedClock : public Clock {
public:
    absl::Time now() const override { return m_now; }
    void advance(absl::Duration duration) { m_now += duration; }

private:
    absl::Time m_now = absl::FromUnixSeconds(1700000000);
};

TaskId taskNumber(int index)
{
    return { { OrganisationName("zagara"), "key" }, 1, index };
}

class WorkerStateTest : public testing::Test {
protected:
    WorkerReport call(WorkerCommand command, Epoch epoch = 1, absl::Duration duration = lease)
    {
        return m_worker.handle({ { shard, epoch }, duration, std::move(command) });
    }

    StartTask startOf(const TaskId& task, absl::string_view payload, bool isPrepared = false)
    {
        StartTask start;
        start.task = task;
        start.incarnation = m_worker.incarnation();
        start.isPrepared = isPrepared;
        start.demand = Resources { 1000, 2000, 1 };
        start.payload = std::string(payload);
        return start;
    }

    TaskReport heartbeatReport(Epoch epoch = 1)
    {
        const WorkerReport report = call(Heartbeat {}, epoch);
        EXPECT_EQ(report.tasks.size(), 1U);
        return report.tasks.empty() ? TaskReport() : report.tasks.front();
    }

    PausedClock m_clock;
    WorkerState m_worker { WorkerName("w1"), "run", m_clock, WorkerTiming() };
};

TEST_F(WorkerStateTest, RunsATaskAndKeepsItsAnswerUntilItIsForgotten)
{
    const auto started = call(startOf(taskNumber(0), R"({"runMs":5000,"echo":"mine","answerBytes":6})"));
    ASSERT_EQ(started.tasks.size(), 1U);
    EXPECT_EQ(started.tasks[0].state, TaskState::Running);
    m_clock.advance(absl::Seconds(5));
    EXPECT_EQ(heartbeatReport().state, TaskState::Succeeded);
    EXPECT_EQ(heartbeatReport().result, "mine..");
    EXPECT_TRUE(call(Heartbeat { { taskNumber(0) } }).tasks.empty());
    const auto again = call(startOf(taskNumber(0), "{}"));
    EXPECT_EQ(again.tasks.at(0).state, TaskState::Succeeded);
    EXPECT_EQ(m_worker.executions().size(), 1U);
}

TEST_F(WorkerStateTest, StartsATaskIdOnlyOnce)
{
    call(startOf(taskNumber(0), R"({"runMs":1000})"));
    call(startOf(taskNumber(0), R"({"runMs":1000})"));
    m_clock.advance(absl::Seconds(2));
    EXPECT_EQ(call(startOf(taskNumber(0), R"({"runMs":1000})")).tasks.at(0).state, TaskState::Succeeded);
    EXPECT_EQ(m_worker.executions().size(), 1U);
}

TEST_F(WorkerStateTest, AStopBarsATaskNeverSeen)
{
    EXPECT_EQ(call(StopTask { taskNumber(0) }).tasks.at(0).state, TaskState::NeverStarted);
    EXPECT_EQ(call(startOf(taskNumber(0), "{}")).tasks.at(0).state, TaskState::NeverStarted);
    EXPECT_TRUE(m_worker.executions().empty());
}

TEST_F(WorkerStateTest, APreparedTaskExecutesNothingUntilItIsReleased)
{
    call(startOf(taskNumber(0), R"({"runMs":1000})", true));
    m_clock.advance(absl::Seconds(10));
    EXPECT_EQ(heartbeatReport().state, TaskState::Prepared);
    EXPECT_TRUE(m_worker.executions().empty());
    EXPECT_EQ(call(ReleaseTask { taskNumber(0) }).tasks.at(0).state, TaskState::Running);
    EXPECT_EQ(call(ReleaseTask { taskNumber(0) }).tasks.at(0).state, TaskState::Running);
    ASSERT_EQ(m_worker.executions().size(), 1U);
    EXPECT_EQ(m_worker.executions()[0].startedAt, m_clock.now());
}

TEST_F(WorkerStateTest, APreparedTaskThatLapsesOrIsStoppedNeverRuns)
{
    call(startOf(taskNumber(0), "{}", true), 1, shortLease);
    call(startOf(taskNumber(1), "{}", true));
    call(StopTask { taskNumber(1) });
    m_clock.advance(shortLease);
    for (const TaskReport& report : call(Heartbeat {}).tasks)
        EXPECT_EQ(report.state, TaskState::StoppedBeforeRelease);
    EXPECT_EQ(call(ReleaseTask { taskNumber(0) }).tasks.at(0).state, TaskState::StoppedBeforeRelease);
    EXPECT_TRUE(m_worker.executions().empty());
}

TEST_F(WorkerStateTest, ARunningTaskStopsWhenItsLeaseLapses)
{
    call(startOf(taskNumber(0), R"({"runMs":100000})"));
    m_clock.advance(lease - absl::Seconds(1));
    EXPECT_EQ(heartbeatReport().state, TaskState::Running);
    m_clock.advance(lease - absl::Seconds(1));
    EXPECT_EQ(heartbeatReport().state, TaskState::Running);
    m_clock.advance(lease);
    EXPECT_EQ(heartbeatReport().state, TaskState::Stopped);
}

TEST_F(WorkerStateTest, ATaskThatEndsBeforeItsLeaseLapsesKeepsItsAnswer)
{
    call(startOf(taskNumber(0), R"({"runMs":1000,"echo":"x"})"));
    m_clock.advance(absl::Hours(1));
    EXPECT_EQ(heartbeatReport().state, TaskState::Succeeded);
}

TEST_F(WorkerStateTest, ASmallerEpochIsFencedForItsShardOnly)
{
    call(startOf(taskNumber(0), R"({"runMs":100000})"), 5);
    const WorkerReport fenced = call(StopTask { taskNumber(0) }, 4);
    EXPECT_TRUE(fenced.isFenced);
    EXPECT_TRUE(fenced.tasks.empty());
    EXPECT_EQ(heartbeatReport(5).state, TaskState::Running);
    const WorkerReport other = m_worker.handle({ { ShardName("other"), 1 }, lease, Heartbeat {} });
    EXPECT_FALSE(other.isFenced);
    EXPECT_TRUE(other.tasks.empty());
}

TEST_F(WorkerStateTest, AnotherIncarnationStartsNothingAndDoesNotReportTheTask)
{
    const StartTask old = startOf(taskNumber(0), "{}");
    m_worker.restart();
    const WorkerReport report = call(old);
    EXPECT_EQ(report.incarnation, m_worker.incarnation());
    EXPECT_NE(report.incarnation, old.incarnation);
    EXPECT_TRUE(report.tasks.empty());
    EXPECT_TRUE(m_worker.executions().empty());
}

TEST_F(WorkerStateTest, ARestartLosesEveryTask)
{
    call(startOf(taskNumber(0), R"({"runMs":100000})"));
    m_worker.restart();
    EXPECT_TRUE(call(Heartbeat {}).tasks.empty());
    EXPECT_EQ(m_worker.executions().size(), 1U);
}

TEST_F(WorkerStateTest, TakesACheckpointThatShortensTheNextAttempt)
{
    call(startOf(taskNumber(0), R"({"runMs":10000})"));
    m_clock.advance(absl::Seconds(4));
    EXPECT_EQ(call(CheckpointTask { taskNumber(0) }).tasks.at(0).checkpoint, "");
    m_clock.advance(absl::Seconds(1));
    const TaskReport taken = heartbeatReport();
    EXPECT_EQ(taken.state, TaskState::Running);
    EXPECT_EQ(taken.checkpoint, R"({"ranMs":4200})");
    call(StopTask { taskNumber(0) });
    StartTask next = startOf(taskNumber(1), R"({"runMs":10000})");
    next.checkpoint = taken.checkpoint;
    call(next);
    m_clock.advance(absl::Milliseconds(5799));
    EXPECT_EQ(call(CheckpointTask { taskNumber(1) }).tasks.at(0).state, TaskState::Running);
    m_clock.advance(absl::Milliseconds(1));
    EXPECT_EQ(call(CheckpointTask { taskNumber(1) }).tasks.at(0).state, TaskState::Succeeded);
}

TEST_F(WorkerStateTest, ATaskMayIgnoreTheRequestForACheckpoint)
{
    call(startOf(taskNumber(0), R"({"runMs":10000,"ignoreCheckpoint":true})"));
    call(CheckpointTask { taskNumber(0) });
    m_clock.advance(absl::Seconds(5));
    EXPECT_EQ(heartbeatReport().checkpoint, "");
}

TEST_F(WorkerStateTest, ReportsUsageWithALag)
{
    call(startOf(taskNumber(0), R"({"runMs":10000,"cpuMillis":77})"));
    EXPECT_EQ(heartbeatReport().usage, Resources());
    m_clock.advance(WorkerTiming().usageLag);
    EXPECT_EQ(heartbeatReport().usage, (Resources { 77, 2000, 1 }));
}

TEST_F(WorkerStateTest, FailsAsThePayloadOrTheFaultSays)
{
    EXPECT_EQ(call(startOf(taskNumber(0), R"({"fail":true})")).tasks.at(0).state, TaskState::Failed);
    m_worker.setFailsEveryTask(true);
    EXPECT_EQ(call(startOf(taskNumber(1), R"({"runMs":5000})")).tasks.at(0).state, TaskState::Failed);
    EXPECT_EQ(m_worker.executions().size(), 2U);
}

TEST_F(WorkerStateTest, StartsMoreThanFits)
{
    for (int index = 0; index < 100; ++index)
        EXPECT_EQ(call(startOf(taskNumber(index), R"({"runMs":1000})")).tasks.at(0).state, TaskState::Running);
}

TEST_F(WorkerStateTest, DoesNotForgetATaskThatRuns)
{
    call(startOf(taskNumber(0), R"({"runMs":1000})"));
    EXPECT_EQ(call(Heartbeat { { taskNumber(0) } }).tasks.size(), 1U);
}

TEST_F(WorkerStateTest, EchoesAPayloadThatIsNoJson)
{
    EXPECT_EQ(call(startOf(taskNumber(0), "plain text")).tasks.at(0).result, "plain text");
}

} // namespace
} // namespace mangohall
