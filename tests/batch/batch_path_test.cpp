// Tests jobs from their submission to their end on a cluster of nodes without faults, as callers observe them.
#include "batch/batch_cluster_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const std::string urgentPath = "/urgent/00000000000000a1";
const std::string batchPath = "/batch/00000000000000b2";

TEST(BatchPath, AcceptsRunsAndCompletesAJob)
{
    BatchCluster cluster;
    const CallerId caller = cluster.submit(0, urgentPath, tasksOf("p", 3, 1));
    cluster.runFor(absl::Milliseconds(100));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Active);
    cluster.runFor(absl::Seconds(2));
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Completed);
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 3);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

TEST(BatchPath, KeepsARepeatedSubmissionOneJob)
{
    BatchCluster cluster;
    cluster.submit(0, urgentPath, tasksOf("p", 1, 1));
    const CallerId again = cluster.submit(1, urgentPath, tasksOf("p", 1, 1));
    cluster.runFor(absl::Seconds(3));
    EXPECT_EQ(cluster.kindOf(again), ErrorKind::None);
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 1);
}

TEST(BatchPath, RunsStepsInOrder)
{
    BatchCluster cluster;
    JobSpec spec = tasksOf("p", 2, 1);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = { 0 };
    cluster.submit(0, urgentPath, spec);
    cluster.runFor(absl::Milliseconds(800));
    EXPECT_EQ(cluster.workers().recordedRuns().size(), 2U);
    cluster.runFor(absl::Seconds(3));
    EXPECT_EQ(cluster.workers().recordedRuns().size(), 4U);
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Completed);
}

TEST(BatchPath, CancelsAJobAndStopsItsTasks)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(30));
    cluster.submit(0, batchPath, tasksOf("long", 4, 1));
    cluster.runFor(absl::Seconds(1));
    const CallerId caller = cluster.cancel(1, batchPath);
    cluster.runFor(absl::Seconds(1));
    EXPECT_EQ(cluster.kindOf(caller), ErrorKind::None);
    EXPECT_EQ(cluster.phaseOf(batchPath), JobPhase::Aborted);
    for (const RecordedRun& run : cluster.workers().recordedRuns())
        EXPECT_LT(run.end, cluster.timeline().now());
}

TEST(BatchPath, AnswersNoSuchJobForAJobThatWasNeverSubmitted)
{
    BatchCluster cluster;
    const CallerId queried = cluster.query(0, urgentPath);
    const CallerId cancelled = cluster.cancel(0, urgentPath);
    cluster.runFor(absl::Seconds(1));
    EXPECT_EQ(cluster.kindOf(queried), ErrorKind::NoSuchJob);
    EXPECT_EQ(cluster.kindOf(cancelled), ErrorKind::NoSuchJob);
}

// A cancellation takes effect even if it is accepted before the submission.
TEST(BatchPath, DoesNotRunAJobThatWasCancelledBeforeItCame)
{
    BatchCluster cluster;
    cluster.cancel(0, urgentPath);
    cluster.runFor(absl::Seconds(1));
    cluster.submit(1, urgentPath, tasksOf("p", 1, 1));
    cluster.runFor(absl::Seconds(3));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 0);
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Aborted);
}

TEST(BatchPath, RefusesUnknownKeysAndQueuesAndUnreadableJobs)
{
    BatchCluster cluster;
    CallerRequest request;
    request.path = urgentPath;
    request.apiKey = "unknown";
    const CallerId unknownKey = cluster.sendRequest(0, request);
    const CallerId unknownQueue = cluster.submit(0, "/none/00000000000000a1", tasksOf("p", 1, 1));
    request.apiKey = "";
    request.verb = CallerVerb::Submit;
    request.spec = absl::InvalidArgumentError("not JSON");
    const CallerId unreadable = cluster.sendRequest(0, request);
    cluster.runFor(absl::Seconds(1));
    EXPECT_EQ(cluster.kindOf(unknownKey), ErrorKind::Unauthenticated);
    EXPECT_EQ(cluster.kindOf(unknownQueue), ErrorKind::NotFound);
    EXPECT_NE(cluster.kindOf(unreadable), ErrorKind::None);
}

TEST(BatchPath, CountsTheJobsThatWait)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(30));
    cluster.submit(0, "/batch/00000000000000c1", tasksOf("long", 8, 8));
    cluster.runFor(absl::Seconds(1));
    cluster.submit(1, "/batch/00000000000000c2", tasksOf("long", 1, 8));
    cluster.submit(2, "/batch/00000000000000c3", tasksOf("long", 1, 8));
    cluster.runFor(absl::Seconds(2));
    const CallerId caller = cluster.query(2, "/batch/");
    cluster.runFor(absl::Milliseconds(200));
    const CallerLog& log = cluster.log(caller);
    ASSERT_TRUE(log.answer);
    ASSERT_NE(std::get_if<QueueCountAnswer>(&*log.answer), nullptr);
    EXPECT_EQ(std::get<QueueCountAnswer>(*log.answer).waitingJobs, 2);
}

// Guards against a job that waits beside idle workers of the kind that it needs: they were reserved for urgent work
// that needs another kind.
TEST(BatchPath, ReservesNoWorkersThatUrgentWorkCannotUse)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(30));
    for (const char* worker : { "w10", "w11" })
        cluster.workers().restartAs(worker, { 128000, 1 << 30, 8 }, "b");
    cluster.runFor(absl::Seconds(2));
    JobSpec urgent = tasksOf("long", 4, 8);
    urgent.steps.front().requiredLabel = WorkerLabel("a");
    cluster.submit(0, urgentPath, urgent);
    cluster.runFor(absl::Seconds(1));
    ASSERT_EQ(cluster.workers().startCount("00000000000000a1"), 4);
    JobSpec batch = tasksOf("p", 1, 1);
    batch.steps.front().requiredLabel = WorkerLabel("b");
    cluster.submit(0, batchPath, batch);
    cluster.runFor(absl::Seconds(3));
    EXPECT_EQ(cluster.phaseOf(batchPath), JobPhase::Completed);
}

// Guards against a job that waits without bound for workers that are reserved for urgent work which does not come.
TEST(BatchPath, UsesReservedWorkersForAJobThatHasWaitedLong)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(100));
    cluster.submit(0, urgentPath, tasksOf("long", 3, 8));
    cluster.submit(0, "/batch/00000000000000c3", tasksOf("long", 3, 8));
    cluster.runFor(absl::Seconds(1));
    cluster.submit(0, batchPath, tasksOf("p", 1, 8));
    cluster.runFor(absl::Seconds(70));
    EXPECT_EQ(cluster.phaseOf(batchPath), JobPhase::Completed);
}

// An urgent gang that a guarantee covers arrives while batch work occupies all workers.
TEST(BatchPath, ReclaimsCapacityForUrgentWorkInTime)
{
    BatchCluster cluster;
    cluster.workers().setRunTime("long", absl::Seconds(60));
    cluster.submit(0, batchPath, tasksOf("long", 64, 1, absl::Seconds(60)));
    cluster.runFor(absl::Seconds(2));
    cluster.submit(1, urgentPath, gangOf("p", 4, 8));
    cluster.runFor(absl::Milliseconds(3400));
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 4);
    EXPECT_TRUE(cluster.workers().violations().empty());
}

TEST(BatchPath, FailsAJobThatAlwaysFailsAfterItsAttempts)
{
    BatchCluster cluster;
    cluster.workers().setFailing("failing");
    cluster.submit(0, urgentPath, tasksOf("failing", 1, 1));
    cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Failed);
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 2);
}

// Guards against a job that is reported as failed although its gang has attempts left: all members fail in the first
// one.
TEST(BatchPath, FailsAGangOnlyAfterAllItsAttempts)
{
    BatchCluster cluster;
    cluster.workers().setFailing("failing");
    cluster.submit(0, urgentPath, gangOf("failing", 2, 8));
    cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Failed);
    EXPECT_EQ(cluster.workers().startCount("00000000000000a1"), 4);
}

TEST(BatchPath, StartsOccurrencesWhenTheyAreDue)
{
    BatchCluster cluster;
    JobSpec spec = tasksOf("p", 1, 1);
    spec.repeatCount = 3;
    spec.firstDue = cluster.timeline().now() + absl::Seconds(2);
    spec.period = absl::Seconds(2);
    const absl::Time due = spec.firstDue;
    cluster.submit(0, urgentPath, spec);
    cluster.runFor(absl::Seconds(10));
    ASSERT_EQ(cluster.workers().recordedRuns().size(), 3U);
    for (std::size_t i = 0; i < 3; ++i) {
        EXPECT_GE(cluster.workers().recordedRuns()[i].begin, due + absl::Seconds(2) * static_cast<double>(i));
        EXPECT_LT(cluster.workers().recordedRuns()[i].begin,
            due + absl::Seconds(2) * static_cast<double>(i) + absl::Seconds(1));
    }
    EXPECT_EQ(cluster.phaseOf(urgentPath), JobPhase::Completed);
}

TEST(BatchPath, PollsNoWorkerWhileNothingRuns)
{
    BatchCluster cluster;
    cluster.runFor(absl::Seconds(5));
    const int before = cluster.workers().pollCount();
    cluster.runFor(absl::Seconds(20));
    EXPECT_EQ(cluster.workers().pollCount(), before);
}

TEST(BatchPath, AppliesANewManifestEverywhereAndNeverAnOlderOne)
{
    BatchCluster cluster;
    Manifest later = cluster.manifest();
    later.version = 5;
    later.queues.pop_back();
    cluster.putManifest(later);
    cluster.runFor(absl::Seconds(2));
    cluster.putManifest(cluster.manifest());
    cluster.runFor(absl::Seconds(2));
    for (int node = 0; node < 3; ++node) {
        const CallerId caller = cluster.submit(node, batchPath, tasksOf("p", 1, 1));
        cluster.runFor(absl::Milliseconds(200));
        EXPECT_EQ(cluster.kindOf(caller), ErrorKind::NotFound);
    }
}

} // namespace
} // namespace mangohall::batch
