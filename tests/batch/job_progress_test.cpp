#include "batch/job/job_progress_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
const WorkerName worker("w");

StepSpec stepOf(int tasks)
{
    StepSpec step;
    step.taskCount = tasks;
    step.estimate = absl::Seconds(2);
    return step;
}

Job jobOf(std::vector<StepSpec> steps, int maxAttempts = 2)
{
    Job job;
    job.id = JobId("0000000000000001");
    job.terms.maxAttempts = maxAttempts;
    job.spec.steps = std::move(steps);
    return job;
}

JobProgress openedProgressOf(const Job& job)
{
    JobProgress progress(job);
    progress.openDueOccurrences(start);
    return progress;
}

TEST(JobProgress, StartsAStepOnlyWhenAllEarlierTasksAreDone)
{
    StepSpec second = stepOf(1);
    second.after = { 0 };
    JobProgress progress = openedProgressOf(jobOf({ stepOf(2), second }));
    ASSERT_EQ(progress.readySteps().size(), 1U);
    progress.place({ 0, 0, 0 }, 1, worker, { 1, 1 });
    progress.place({ 0, 0, 1 }, 1, worker, { 1, 1 });
    progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::Done, "", start);
    EXPECT_TRUE(progress.readySteps().empty());
    progress.recordEnd({ 0, 0, 1 }, 1, RunEnd::Done, "", start);
    ASSERT_EQ(progress.readySteps().size(), 1U);
    EXPECT_EQ(progress.readySteps().front().step, 1);
}

TEST(JobProgress, FailsAfterTheLastAttemptAndCountsOnlyFailures)
{
    JobProgress progress = openedProgressOf(jobOf({ stepOf(1) }));
    const TaskRef task { 0, 0, 0 };
    progress.place(task, 1, worker, { 1, 1 });
    progress.recordEnd(task, 1, RunEnd::LeaseLapsed, "", start);
    progress.place(task, 2, worker, { 1, 1 });
    progress.recordEnd(task, 2, RunEnd::Failed, "", start);
    EXPECT_EQ(progress.phase(), JobPhase::Active);
    progress.place(task, 3, worker, { 1, 1 });
    progress.recordEnd(task, 3, RunEnd::Failed, "", start);
    EXPECT_EQ(progress.phase(), JobPhase::Failed);
    EXPECT_TRUE(progress.readySteps().empty());
}

TEST(JobProgress, CompletesAGangWhenOneMemberIsDone)
{
    StepSpec gang = stepOf(3);
    gang.isGang = true;
    JobProgress progress = openedProgressOf(jobOf({ gang }));
    for (int index = 0; index < 3; ++index)
        progress.place({ 0, 0, index }, 1, worker, { 1, 1 });
    progress.recordEnd({ 0, 0, 1 }, 1, RunEnd::Done, "", start);
    EXPECT_EQ(progress.phase(), JobPhase::Completed);
}

TEST(JobProgress, StartsAGangAnewOnlyWhenNoMemberIsPlaced)
{
    StepSpec gang = stepOf(2);
    gang.isGang = true;
    JobProgress progress = openedProgressOf(jobOf({ gang }));
    progress.place({ 0, 0, 0 }, 1, worker, { 1, 1 });
    progress.place({ 0, 0, 1 }, 1, worker, { 1, 1 });
    progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::GangBroken, "saved", start);
    EXPECT_TRUE(progress.readySteps().empty());
    progress.recordEnd({ 0, 0, 1 }, 1, RunEnd::Stopped, "", start);
    ASSERT_EQ(progress.readySteps().size(), 1U);
    EXPECT_EQ(progress.nextAttempt({ 0, 0, 1 }), 2);
    // All members resume from the same checkpoint.
    EXPECT_EQ(progress.find({ 0, 0, 1 })->checkpoint, "saved");
}

// Guards against a job that is reported as failed after one failed attempt of its gang, in which several members
// failed.
TEST(JobProgress, CountsAFailedAttemptOfAGangOnce)
{
    StepSpec gang = stepOf(3);
    gang.isGang = true;
    JobProgress progress = openedProgressOf(jobOf({ gang }));
    for (int index = 0; index < 3; ++index)
        progress.place({ 0, 0, index }, 1, worker, { 1, 1 });
    progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::Failed, "", start);
    // The next owner goes on from the record.
    JobProgress restored(progress.job());
    ASSERT_TRUE(restored.restore(progress.record()));
    restored.recordEnd({ 0, 0, 1 }, 1, RunEnd::Failed, "", start);
    restored.recordEnd({ 0, 0, 2 }, 1, RunEnd::GangBroken, "", start);
    EXPECT_EQ(restored.phase(), JobPhase::Active);
    ASSERT_EQ(restored.readySteps().size(), 1U);
    for (int index = 0; index < 3; ++index)
        restored.place({ 0, 0, index }, 2, worker, { 1, 1 });
    restored.recordEnd({ 0, 0, 2 }, 2, RunEnd::Failed, "", start);
    EXPECT_EQ(restored.phase(), JobPhase::Failed);
}

TEST(JobProgress, AcceptsALateDoneOfAnEarlierAttempt)
{
    JobProgress progress = openedProgressOf(jobOf({ stepOf(1) }));
    const TaskRef task { 0, 0, 0 };
    progress.place(task, 1, worker, { 1, 1 });
    progress.recordEnd(task, 1, RunEnd::LeaseLapsed, "", start);
    progress.place(task, 2, worker, { 1, 1 });
    EXPECT_FALSE(progress.recordEnd(task, 1, RunEnd::Stopped, "", start));
    EXPECT_TRUE(progress.recordEnd(task, 1, RunEnd::Done, "", start));
    EXPECT_EQ(progress.phase(), JobPhase::Completed);
    EXPECT_FALSE(progress.isCurrentRun(task, 2, worker));
}

TEST(JobProgress, OpensOccurrencesWhenTheyAreDue)
{
    Job job = jobOf({ stepOf(1) });
    job.spec.repeatCount = 2;
    job.spec.firstDue = start + absl::Seconds(1);
    job.spec.period = absl::Seconds(2);
    JobProgress progress(job);
    EXPECT_FALSE(progress.openDueOccurrences(start));
    EXPECT_TRUE(progress.openDueOccurrences(start + absl::Milliseconds(1100)));
    EXPECT_EQ(progress.record().occurrences.size(), 1U);
    progress.place({ 0, 0, 0 }, 1, worker, { 1, 1 });
    progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::Done, "", start);
    EXPECT_EQ(progress.phase(), JobPhase::Active);
    EXPECT_TRUE(progress.openDueOccurrences(start + absl::Milliseconds(3100)));
    progress.place({ 1, 0, 0 }, 1, worker, { 1, 1 });
    progress.recordEnd({ 1, 0, 0 }, 1, RunEnd::Done, "", start);
    EXPECT_EQ(progress.phase(), JobPhase::Completed);
}

TEST(JobProgress, RestartsALongRunningTaskAfterEveryEnd)
{
    StepSpec longRunning = stepOf(1);
    longRunning.isLongRunning = true;
    JobProgress progress = openedProgressOf(jobOf({ longRunning }));
    const TaskRef task { 0, 0, 0 };
    for (int attempt = 1; attempt < 5; ++attempt) {
        progress.place(task, attempt, worker, { 1, 1 });
        progress.recordEnd(task, attempt, attempt % 2 == 0 ? RunEnd::Done : RunEnd::Failed, "", start);
        EXPECT_EQ(progress.readySteps().size(), 1U);
    }
    EXPECT_EQ(progress.phase(), JobPhase::Active);
}

TEST(JobProgress, RefusesProgressOfAnotherShape)
{
    JobProgress progress(jobOf({ stepOf(2) }));
    ProgressRecord record;
    record.occurrences.push_back({ 0, { StepProgress { { TaskProgress() } } } });
    EXPECT_FALSE(progress.restore(record));
    EXPECT_TRUE(progress.record().occurrences.empty());
}

TEST(JobProgress, EstimatesTheLongestChain)
{
    StepSpec third = stepOf(1);
    third.after = { 0 };
    EXPECT_EQ(JobProgress(jobOf({ stepOf(1), stepOf(1), third })).longestChainEstimate(), absl::Seconds(4));
}

} // namespace
} // namespace mangohall::batch
