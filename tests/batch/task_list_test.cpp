#include "batch/job/task_list_base.h"

#include <gtest/gtest.h>

#include "batch/job/job_progress_base.h"

namespace mangohall::batch {
namespace {

TaskProgress taskOf(TaskProgress::Phase phase, std::int32_t attempt = 0)
{
    TaskProgress task;
    task.phase = phase;
    task.attempt = attempt;
    return task;
}

TEST(TaskList, KeepsNoEntriesOfTasksThatWaitOrAreDone)
{
    TaskList tasks(3);
    tasks.push_back(taskOf(TaskProgress::Phase::Done));
    tasks.push_back(taskOf(TaskProgress::Phase::Placed, 2));
    tasks.push_back(TaskProgress());
    ASSERT_EQ(tasks.size(), 6U);
    EXPECT_EQ(tasks.entries().size(), 1U);
    EXPECT_EQ(tasks[2], TaskProgress());
    EXPECT_EQ(tasks[3].phase, TaskProgress::Phase::Done);
    EXPECT_EQ(tasks[4].attempt, 2);
    EXPECT_EQ(tasks[5], TaskProgress());
    EXPECT_FALSE(tasks.isDone());
}

TEST(TaskList, ChangesOneTaskAndNoCopy)
{
    TaskList tasks { taskOf(TaskProgress::Phase::Done), TaskProgress() };
    const TaskList copy = tasks;
    tasks.edit(0).attempt = 5;
    tasks.edit(1).phase = TaskProgress::Phase::Done;
    EXPECT_TRUE(tasks.isDone());
    EXPECT_EQ(tasks[0].phase, TaskProgress::Phase::Done);
    EXPECT_EQ(tasks[0].attempt, 5);
    EXPECT_FALSE(copy.isDone());
    EXPECT_FALSE(copy == tasks);
    EXPECT_EQ(copy[0].attempt, 0);
}

Job jobOfSteps(std::size_t count)
{
    Job job;
    StepSpec step;
    step.taskCount = 1;
    job.spec.steps = std::vector<StepSpec>(count, step);
    return job;
}

TEST(JobProgress, GivesTheReadyStepsOfALargeJobInTurns)
{
    JobProgress progress(jobOfSteps(5));
    ASSERT_TRUE(progress.openDueOccurrences(absl::UnixEpoch()));
    ReadyCursor cursor;
    std::vector<std::int32_t> seen;
    for (int round = 0; round < 3; ++round) {
        for (const ReadyStep& ready : progress.readySteps(cursor, 2))
            seen.push_back(ready.step);
    }
    EXPECT_EQ(seen, (std::vector<std::int32_t> { 0, 1, 2, 3, 4, 0 }));
    // A search that finds all of them begins at the first step again.
    EXPECT_EQ(progress.readySteps(cursor, 9).size(), 5U);
    EXPECT_EQ(progress.readySteps(cursor, 9).front().step, 0);
}

TEST(SharedList, SharesItsElementsUntilACopyIsChanged)
{
    Job job = jobOfSteps(2);
    const Job copy = job;
    EXPECT_EQ(copy.spec.steps.begin(), std::as_const(job).spec.steps.begin());
    job.spec.steps.front().taskCount = 7;
    EXPECT_EQ(copy.spec.steps.front().taskCount, 1);
    EXPECT_EQ(job.spec.steps.front().taskCount, 7);
    EXPECT_FALSE(copy == job);
}

} // namespace
} // namespace mangohall::batch
