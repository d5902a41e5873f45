// The sizes of the records of jobs with many tasks, and what they allow to run.
#include <limits>

#include "absl/strings/str_cat.h"
#include "adapters/json/batch_record_json_func.h"
#include "batch/job/job_check_func.h"
#include "batch/job/job_progress_base.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);
constexpr RecordLimits limits;

JobSpec specOf(int tasks, int occurrences = 0)
{
    JobSpec spec;
    StepSpec step;
    step.taskCount = tasks;
    spec.steps = { step };
    spec.repeatCount = occurrences;
    return spec;
}

Job jobOf(const JobSpec& spec)
{
    Job job;
    job.id = JobId("0000000000000001");
    job.spec = spec;
    job.terms.maxAttempts = 100;
    return job;
}

std::size_t sizeOf(const JobProgress& progress)
{
    return encodeRecord(progress.record()).size();
}

// Places every task that may start, with a long name of the worker.
int placeAll(JobProgress& progress, std::int32_t attempt)
{
    constexpr std::int64_t processStartMs = 1764000000000;
    int placed = 0;
    for (const ReadyStep& ready : progress.readySteps()) {
        for (const std::int32_t index : ready.indices) {
            const WorkerName worker(absl::StrCat("i-575acf9f09-of-a-worker-with-a-long-name-", index));
            progress.place(
                { ready.occurrence, ready.step, index }, attempt, worker, { processStartMs, processStartMs });
            ++placed;
        }
    }
    return placed;
}

// Ends every placed task.
void endAll(JobProgress& progress, RunEnd end)
{
    for (const TaskRef& task : progress.placedTasks())
        progress.recordEnd(task, progress.find(task)->attempt, end, "00000bb87a21d94b", now);
}

TEST(RecordLimits, KeepAJobOfTheMostTasksBelowTheLargestRecord)
{
    JobProgress progress(jobOf(specOf(20000)));
    progress.openDueOccurrences(now);
    EXPECT_EQ(placeAll(progress, 1), limits.maxOpenTasks());
    EXPECT_TRUE(progress.readySteps().empty());
    EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxRecordBytes));
    endAll(progress, RunEnd::Failed);
    EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxRecordBytes));
    // Tasks that were placed before may start again, and no others until one of them is done.
    EXPECT_EQ(placeAll(progress, 2), limits.maxOpenTasks());
    int rounds = 0;
    for (std::int32_t attempt = 3; progress.phase() == JobPhase::Active; ++attempt) {
        EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxRecordBytes));
        endAll(progress, RunEnd::Done);
        placeAll(progress, attempt);
        ++rounds;
    }
    EXPECT_EQ(progress.phase(), JobPhase::Completed);
    EXPECT_EQ(rounds, (20000 + limits.maxOpenTasks() - 1) / limits.maxOpenTasks());
    EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxClosedBytes()));
}

TEST(RecordLimits, KeepAJobOfManyOccurrencesBelowTheLargestRecord)
{
    const JobSpec spec = specOf(94, 330);
    EXPECT_TRUE(checkRecordSizes(spec, limits).ok());
    JobProgress progress(jobOf(spec));
    progress.openDueOccurrences(now);
    for (std::int32_t attempt = 1; progress.phase() != JobPhase::Completed; ++attempt) {
        ASSERT_GT(placeAll(progress, attempt), 0);
        EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxRecordBytes));
        endAll(progress, RunEnd::Done);
    }
}

// The next owner goes on with the record.
TEST(RecordLimits, HoldForARestoredRecord)
{
    const Job job = jobOf(specOf(5000));
    JobProgress earlier(job);
    earlier.openDueOccurrences(now);
    placeAll(earlier, 1);
    endAll(earlier, RunEnd::Done);
    placeAll(earlier, 1);
    const absl::StatusOr<RecordValue> read = decodeRecord(Collection::Progress, encodeRecord(earlier.record()));
    ASSERT_TRUE(read.ok()) << read.status();
    JobProgress later(job);
    ASSERT_TRUE(later.restore(std::get<ProgressRecord>(*read)));
    EXPECT_TRUE(later.hasBegun());
    EXPECT_EQ(later.placedTasks(), earlier.placedTasks());
    endAll(later, RunEnd::Done);
    EXPECT_EQ(placeAll(later, 2), 5000 - 2 * limits.maxOpenTasks());
}

TEST(RecordLimits, StartAGangOnlyAsAWhole)
{
    JobSpec spec = specOf(static_cast<int>(limits.maxOpenTasks()) - 10);
    StepSpec gang;
    gang.taskCount = 20;
    gang.isGang = true;
    spec.steps.push_back(gang);
    spec.steps.push_back(specOf(5).steps.front());
    EXPECT_TRUE(checkRecordSizes(spec, limits).ok());
    JobProgress progress(jobOf(spec));
    progress.openDueOccurrences(now);
    const std::vector<ReadyStep> ready = progress.readySteps();
    ASSERT_EQ(ready.size(), 1U);
    EXPECT_EQ(ready.front().step, 0);
    placeAll(progress, 1);
    endAll(progress, RunEnd::Done);
    EXPECT_EQ(placeAll(progress, 1), 25);
}

// A checkpoint for which the record has no room is dropped; the task resumes from an earlier one.
TEST(RecordLimits, BoundTheCheckpoints)
{
    JobProgress progress(jobOf(specOf(1000)));
    progress.openDueOccurrences(now);
    placeAll(progress, 1);
    const std::string checkpoint(500, '\x01');
    for (const TaskRef& task : progress.placedTasks())
        progress.recordCheckpoint(task, 1, checkpoint);
    EXPECT_EQ(progress.find({ 0, 0, 0 })->checkpoint, checkpoint);
    EXPECT_EQ(progress.find({ 0, 0, 999 })->checkpoint, "");
    EXPECT_LT(sizeOf(progress), static_cast<std::size_t>(limits.maxRecordBytes));
    progress.recordEnd({ 0, 0, 0 }, 1, RunEnd::Done, "", now);
    progress.recordCheckpoint({ 0, 0, 999 }, 1, checkpoint);
    EXPECT_EQ(progress.find({ 0, 0, 999 })->checkpoint, checkpoint);
}

// What can never be served is refused at once.
TEST(RecordLimits, RefuseJobsThatOutgrowThem)
{
    const auto kindOf = [](const JobSpec& spec) { return errorKindOf(checkRecordSizes(spec, limits)); };
    EXPECT_EQ(kindOf(specOf(20000)), ErrorKind::None);
    EXPECT_EQ(kindOf(specOf(10, 10000)), ErrorKind::InvalidValue);
    JobSpec gang = specOf(static_cast<int>(limits.maxOpenTasks()));
    gang.steps.front().isGang = true;
    EXPECT_EQ(kindOf(gang), ErrorKind::None);
    ++gang.steps.front().taskCount;
    EXPECT_EQ(kindOf(gang), ErrorKind::InvalidValue);
    JobSpec lasting = specOf(static_cast<int>(limits.maxOpenTasks()) - 1);
    lasting.steps.front().isLongRunning = true;
    EXPECT_EQ(kindOf(lasting), ErrorKind::None);
    lasting.repeatCount = 2;
    EXPECT_EQ(kindOf(lasting), ErrorKind::InvalidValue);
    JobSpec steps = specOf(1);
    steps.steps.edit().assign(5000, StepSpec(steps.steps.front()));
    EXPECT_EQ(kindOf(steps), ErrorKind::InvalidValue);
}

// A job that passes the check is stored.
TEST(RecordLimits, CoverTheRecordOfTheJobItself)
{
    constexpr std::int32_t most = std::numeric_limits<std::int32_t>::max();
    StepSpec step;
    step.taskCount = 1;
    step.demand = { std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max(), most };
    step.estimate = absl::Milliseconds(std::numeric_limits<std::int32_t>::max());
    step.isGang = step.isRackLocal = step.isCheckpointing = step.isSpeculative = step.usesSpareProcessor = true;
    step.requiredLabel = WorkerLabel(std::string(20, '\x01'));
    step.dataRack = RackName(std::string(20, '"'));
    step.image = std::string(20, '\\');
    step.maxPerWorker = step.maxUnavailable = most;
    step.tailLatencyTarget = absl::Milliseconds(most);
    JobSpec spec;
    spec.payload = std::string(4000, '\x01');
    while (checkRecordSizes(spec, limits).ok())
        spec.steps.push_back(step);
    spec.steps.edit().pop_back();
    EXPECT_GT(spec.steps.size(), 1000U);
    EXPECT_LE(encodeRecord(jobOf(spec)).size(), static_cast<std::size_t>(limits.maxRecordBytes));
}

} // namespace
} // namespace mangohall::batch
