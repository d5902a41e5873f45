#include "batch/owner/job_book_base.h"

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

// The readings of jobs and of their progress may come in either order.
TEST(JobBook, TakesProgressThatIsReadAfterItsJob)
{
    JobBook book;
    book.add(jobOf("a"));
    book.addProgress(JobId("a"), doneRecord(), 7);
    EXPECT_EQ(book.find(JobId("a"))->progress.phase(), JobPhase::Completed);
    EXPECT_EQ(book.find(JobId("a"))->revision, 7);
}

TEST(JobBook, TakesProgressThatIsReadBeforeItsJob)
{
    JobBook book;
    book.addProgress(JobId("a"), doneRecord(), 7);
    book.add(jobOf("a"));
    EXPECT_EQ(book.find(JobId("a"))->progress.phase(), JobPhase::Completed);
    EXPECT_EQ(book.find(JobId("a"))->revision, 7);
}

TEST(JobBook, HandsOutDirtyJobsInOrderAndOnce)
{
    JobBook book;
    book.add(jobOf("a"));
    book.add(jobOf("b"));
    book.markDirty(*book.find(JobId("b")));
    book.markDirty(*book.find(JobId("a")));
    book.markDirty(*book.find(JobId("b")));
    EXPECT_EQ(book.takeDirty(1), std::vector<JobId> { JobId("b") });
    EXPECT_EQ(book.takeDirty(9), std::vector<JobId> { JobId("a") });
    EXPECT_FALSE(book.hasDirty());
}

} // namespace
} // namespace mangohall::batch
