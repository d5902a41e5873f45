#include "adapters/json/batch_record_json_func.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

Job makeJob()
{
    Job job;
    job.id = JobId("00000000000000a1");
    job.queue = QueueName("q");
    job.service = ServiceName("s");
    job.organisation = OrganisationName("o");
    job.terms = { 1, 4, 2.5, absl::Milliseconds(400) };
    job.acceptedAt = absl::FromUnixMillis(1234567);
    job.spec.payload = "text";
    job.spec.repeatCount = 2;
    job.spec.firstDue = absl::FromUnixMillis(99);
    job.spec.period = absl::Milliseconds(7);
    StepSpec step;
    step.taskCount = 3;
    step.demand = { 1, 2, 3 };
    step.estimate = absl::Milliseconds(900);
    step.isGang = step.isRackLocal = step.isCheckpointing = true;
    step.requiredLabel = WorkerLabel("l");
    step.dataRack = RackName("r");
    step.maxPerWorker = 2;
    step.image = "i";
    step.tailLatencyTarget = absl::Milliseconds(50);
    step.maxUnavailable = 1;
    StepSpec second = step;
    second.after = { 0 };
    second.isGang = false;
    second.isSpeculative = second.isLongRunning = second.usesSpareProcessor = true;
    job.spec.steps = { step, second };
    return job;
}

ProgressRecord makeProgress()
{
    ProgressRecord record;
    record.phase = JobPhase::Failed;
    record.endedAt = absl::FromUnixMillis(777);
    TaskProgress task;
    task.phase = TaskProgress::Phase::Placed;
    task.attempt = 4;
    task.failures = 2;
    task.worker = WorkerName("w");
    task.workerProcessStartMs = 5;
    task.checkpoint = "saved";
    TaskProgress gangMember = task;
    gangMember.lastFailedAttempt = 3;
    TaskProgress started = task;
    started.lastStartedAttempt = 4;
    started.earlierCommandsUntilMs = 1770477838408;
    started.lapsesByMs = 1770477862958;
    TaskProgress done = task;
    done.phase = TaskProgress::Phase::Done;
    done.mayStartAgain = true;
    record.occurrences = { { 0, { StepProgress { { TaskProgress(), task, started } } } },
        { 1, { StepProgress { { gangMember, done } } } } };
    return record;
}

void expectRoundTrip(Collection collection, const RecordValue& value)
{
    const absl::StatusOr<RecordValue> decoded = decodeRecord(collection, encodeRecord(value));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_TRUE(*decoded == value);
}

TEST(RecordJson, AllFieldsSurviveRoundTrip)
{
    expectRoundTrip(Collection::Jobs, makeJob());
    expectRoundTrip(Collection::Progress, makeProgress());
    expectRoundTrip(Collection::Cancellations, Cancellation { absl::FromUnixMillis(5) });
    expectRoundTrip(Collection::QueueCounts, QueueCounts { { { QueueName("q"), 3 } } });
    expectRoundTrip(Collection::Holder, HolderRecord { NodeName("n"), 4, 0.25 });
    expectRoundTrip(Collection::Candidate, CandidateRecord { NodeName("n"), 0.5, 7 });
    expectRoundTrip(Collection::Epoch, EpochRecord { 4, NodeName("n") });
}

// Guards against a rolling update that loses the progress of jobs: records without the last failed attempt of a gang
// come from earlier versions.
TEST(RecordJson, ReadsTheProgressOfAnEarlierVersion)
{
    const absl::StatusOr<RecordValue> decoded
        = decodeRecord(Collection::Progress, R"({"phase":"active","occurrences":[[[[1,4,2,"saved","w",5]]]]})");
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    const TaskProgress& task = std::get<ProgressRecord>(*decoded).occurrences[0].steps[0].tasks[0];
    EXPECT_EQ(task.attempt, 4);
    EXPECT_EQ(task.lastFailedAttempt, 0);
    EXPECT_EQ(task.lastStartedAttempt, 0);
    EXPECT_EQ(task.workerProcessStartMs, 5);
}

// Guards against a rolling update in which no node reads the holder that an earlier version has written.
TEST(RecordJson, ReadsTheHolderOfAnEarlierVersion)
{
    const absl::StatusOr<RecordValue> decoded = decodeRecord(Collection::Holder, R"({"node":"n","epoch":4})");
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(std::get<HolderRecord>(*decoded), (HolderRecord { NodeName("n"), 4, 0 }));
}

TEST(RecordJson, RejectsMalformedRecords)
{
    for (const char* text : { "", "7", "[]", R"({"phase":"odd"})", R"({"phase":"active","occurrences":[[[[1,2]]]]})",
             R"({"phase":"active","occurrences":[[[[9,1,0,"","w",1]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,"x"]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,-1]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,"x"]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,-1]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,"x"]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,1,"x"]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,1,-1]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,1,1,"x"]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,1,1,-1]]]]})",
             R"({"phase":"active","occurrences":[[[[1,1,0,"","w",1,1,1,1,1,1,1]]]]})" })
        EXPECT_FALSE(decodeRecord(Collection::Progress, text).ok()) << text;
    for (const char* text : { "{}", R"({"steps":[{"tasks":1,"after":[5]}]})", R"({"steps":[{"tasks":"x"}]})" })
        EXPECT_FALSE(decodeRecord(Collection::Jobs, text).ok()) << text;
}

// Guards against numbers that are cut to fewer bits and then taken for others.
TEST(RecordJson, RejectsNumbersOutOfRange)
{
    for (const char* text : { R"({"phase":"active","occurrences":[[[[0,4294967297,0,"","w",1]]]]})",
             R"({"phase":"active","occurrences":[[[[4294967296,1,0,"","w",1]]]]})",
             R"({"phase":"active","occurrences":[[[[0,1,4294967296,"","w",1]]]]})",
             R"({"phase":"active","occurrences":[[[[0,1,0,"","w",18446744073709551615]]]]})",
             R"({"phase":"active","endedMs":18446744073709551615})", R"({"phase":"active","endedMs":1e400})" })
        EXPECT_FALSE(decodeRecord(Collection::Progress, text).ok()) << text;
    EXPECT_FALSE(decodeRecord(Collection::Jobs, R"({"steps":[{"tasks":1},{"tasks":1,"after":[4294967296]}]})").ok());
    EXPECT_FALSE(decodeRecord(Collection::Holder, R"({"node":"n","epoch":18446744073709551615})").ok());
}

} // namespace
} // namespace mangohall::batch
