#include "batch/owner/job_registry_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

Job jobOf(const std::string& id)
{
    Job job;
    job.id = JobId(id);
    StepSpec step;
    step.taskCount = 1;
    job.spec.steps.push_back(step);
    return job;
}

ProgressRecord doneRecord()
{
    ProgressRecord record;
    record.phase = JobPhase::Completed;
    TaskProgress task;
    task.phase = TaskProgress::Phase::Done;
    task.attempt = 1;
    record.occurrences.push_back({ 0, { StepProgress { { task } } } });
    return record;
}

// What need not be written soon goes with other writes, once, and after them.
TEST(JobRegistry, ReturnsJobsThatNeedNotBeWrittenSoonLast)
{
    JobRegistry jobs;
    for (const char* id : { "a", "b", "c" })
        jobs.add(jobOf(id));
    jobs.markDirtyLater(*jobs.find(JobId("a")));
    jobs.markDirtyLater(*jobs.find(JobId("b")));
    EXPECT_FALSE(jobs.hasDirty());
    EXPECT_TRUE(jobs.takeDirty(9, false).empty());
    jobs.markDirty(*jobs.find(JobId("c")));
    jobs.markDirty(*jobs.find(JobId("b")));
    EXPECT_EQ(jobs.takeDirty(2, true), (std::vector<JobId> { JobId("c"), JobId("b") }));
    EXPECT_EQ(jobs.takeDirty(9, true), std::vector<JobId> { JobId("a") });
    EXPECT_TRUE(jobs.takeDirty(9, true).empty());
}

// Guards against a job that is run again long after its end: a read that began before its removal still shows it.
TEST(JobRegistry, DoesNotLearnARemovedJobFromAnEarlierRead)
{
    JobRegistry jobs;
    EXPECT_TRUE(jobs.add(jobOf("a"), 3));
    jobs.remove(JobId("a"), 9);
    EXPECT_FALSE(jobs.add(jobOf("a"), 3));
    EXPECT_TRUE(jobs.entries().empty());
    // The same id, submitted after the removal.
    EXPECT_TRUE(jobs.add(jobOf("a"), 12));
}

// Guards against a queue that says that no job waits (MIXED): a placed task has not started until a worker shows it.
TEST(JobRegistry, CountsAJobAsWaitingUntilATaskHasStarted)
{
    const QueueName queue("batch");
    const TaskRef task { 0, 0, 0 };
    JobRegistry jobs;
    Job job = jobOf("a");
    job.queue = queue;
    jobs.add(job);
    JobProgress& progress = jobs.find(job.id)->progress;
    progress.openDueOccurrences(absl::UnixEpoch());
    progress.place(task, 1, WorkerName("w"), { 1, 1 });
    EXPECT_EQ(jobs.countWaiting().waiting[queue], 1);
    progress.recordEnd(task, 1, RunEnd::NotStarted, "", absl::UnixEpoch());
    EXPECT_EQ(jobs.countWaiting().waiting[queue], 1);
    progress.place(task, 2, WorkerName("w"), { 1, 1 });
    EXPECT_TRUE(progress.recordStarted(task, 2, false, { 1000, 1 }));
    EXPECT_FALSE(progress.recordStarted(task, 2, false, { 1000, 1 }));
    EXPECT_EQ(jobs.countWaiting().waiting.count(queue), 0U);
    JobRegistry later;
    later.add(job);
    later.addProgress(job.id, progress.record(), 1);
    EXPECT_EQ(later.countWaiting().waiting.count(queue), 0U);
}

// Jobs and their progress are read by two calls, whose replies may come in either order.
TEST(JobRegistry, AppliesProgressThatIsReadAfterItsJob)
{
    JobRegistry jobs;
    jobs.add(jobOf("a"));
    jobs.addProgress(JobId("a"), doneRecord(), 7);
    EXPECT_EQ(jobs.find(JobId("a"))->progress.phase(), JobPhase::Completed);
    EXPECT_EQ(jobs.find(JobId("a"))->revision, 7);
}

TEST(JobRegistry, AppliesProgressThatIsReadBeforeItsJob)
{
    JobRegistry jobs;
    jobs.addProgress(JobId("a"), doneRecord(), 7);
    jobs.add(jobOf("a"));
    EXPECT_EQ(jobs.find(JobId("a"))->progress.phase(), JobPhase::Completed);
    EXPECT_EQ(jobs.find(JobId("a"))->revision, 7);
}

TEST(JobRegistry, ReturnsDirtyJobsInOrderAndOnce)
{
    JobRegistry jobs;
    jobs.add(jobOf("a"));
    jobs.add(jobOf("b"));
    jobs.markDirty(*jobs.find(JobId("b")));
    jobs.markDirty(*jobs.find(JobId("a")));
    jobs.markDirty(*jobs.find(JobId("b")));
    EXPECT_EQ(jobs.takeDirty(1, false), std::vector<JobId> { JobId("b") });
    EXPECT_EQ(jobs.takeDirty(9, false), std::vector<JobId> { JobId("a") });
    EXPECT_FALSE(jobs.hasDirty());
}

Job largeJobOf(const std::string& id, absl::Time acceptedAt)
{
    Job job = jobOf(id);
    job.queue = QueueName("batch");
    job.acceptedAt = acceptedAt;
    job.spec.steps.edit().assign(1000, StepSpec(job.spec.steps.front()));
    return job;
}

// Guards against a store that holds more jobs than the memory of its owner.
TEST(JobRegistry, DefersWhatTheBudgetHasNoRoomForUntilItHas)
{
    const Job first = largeJobOf("a", absl::UnixEpoch());
    JobRegistry jobs({}, jobFootprint(first.spec) * 2);
    EXPECT_TRUE(jobs.hasRoomFor(first));
    jobs.add(first, 1);
    const Job later = largeJobOf("b", absl::UnixEpoch() + absl::Seconds(2));
    const Job earlier = largeJobOf("c", absl::UnixEpoch() + absl::Seconds(1));
    for (const Job& job : { later, earlier }) {
        EXPECT_FALSE(jobs.hasRoomFor(job));
        jobs.defer(job, 2);
    }
    // A small job is still held, and so is one that an earlier owner has begun.
    EXPECT_TRUE(jobs.hasRoomFor(jobOf("d")));
    jobs.addProgress(JobId("e"), doneRecord(), 1);
    EXPECT_TRUE(jobs.hasRoomFor(largeJobOf("e", absl::UnixEpoch())));
    EXPECT_EQ(jobs.countWaiting().waiting[QueueName("batch")], 3);
    EXPECT_FALSE(jobs.nextDeferred());
    jobs.remove(JobId("a"), 9);
    EXPECT_EQ(jobs.nextDeferred(), JobId("c"));
    jobs.removeDeferred(JobId("c"));
    EXPECT_EQ(jobs.nextDeferred(), JobId("b"));
    JobEntry& cancelled = jobs.addDeferredForCancellation(JobId("b"));
    EXPECT_TRUE(cancelled.progress.cancel(absl::UnixEpoch()));
    EXPECT_FALSE(jobs.nextDeferred());
}

// Guards against jobs that take their whole memory for as long as they are shown after their end.
TEST(JobRegistry, FreesTheDetailsOfJobsThatEnded)
{
    JobRegistry jobs;
    jobs.add(largeJobOf("a", absl::UnixEpoch()), 1);
    JobEntry& entry = *jobs.find(JobId("a"));
    entry.progress.openDueOccurrences(absl::UnixEpoch());
    const std::int64_t held = jobs.heldBytes();
    entry.progress.place({ 0, 0, 0 }, 1, WorkerName("w"), { 1, 1 });
    entry.progress.cancel(absl::UnixEpoch());
    const absl::Time later = absl::UnixEpoch() + absl::Seconds(1);
    jobs.reviewMemory(later);
    EXPECT_GT(jobs.heldBytes(), held);
    entry.progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::Stopped, "", later);
    jobs.reviewMemory(absl::UnixEpoch());
    EXPECT_GT(jobs.heldBytes(), held);
    jobs.reviewMemory(later);
    EXPECT_LT(jobs.heldBytes(), held / 10);
    EXPECT_EQ(entry.progress.phase(), JobPhase::Aborted);
    jobs.remove(JobId("a"), 9);
    EXPECT_EQ(jobs.heldBytes(), 0);
}

} // namespace
} // namespace mangohall::batch
