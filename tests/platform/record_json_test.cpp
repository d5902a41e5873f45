#include "adapters/json/batch_record_json_func.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "core/error_func.h"
#include "platform/job_json_func.h"
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

Job makeJobOf(const JobSpec& spec)
{
    Job job = makeJob();
    job.spec = spec;
    return job;
}

Job encodedAndDecoded(const Job& job)
{
    const absl::StatusOr<RecordValue> decoded = decodeRecord(Collection::Jobs, encodeRecord(job));
    EXPECT_TRUE(decoded.ok()) << decoded.status();
    return decoded.ok() ? std::get<Job>(*decoded) : Job();
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

// Guards against ORDER: occurrences of a job that start too early, as the stored period is shorter than the submitted
// one.
TEST(RecordJson, KeepsTheFractionOfAPeriodSoThatNoOccurrenceStartsTooEarly)
{
    for (const char* period : { "60.9", "0.1", "0.00000025", "16.666666666666668", "33.333", "1234567.8", "61" }) {
        const absl::StatusOr<JobSpec> spec = platform::jobSpecFromJson(
            absl::StrCat(R"({"repeatCount":600,"startAtMs":1000,"periodMs":)", period, R"(,"phases":[{"count":1}]})"));
        ASSERT_TRUE(spec.ok()) << spec.status();
        const Job decoded = encodedAndDecoded(makeJobOf(*spec));
        EXPECT_EQ(decoded.spec.period, spec->period) << period;
        EXPECT_EQ(decoded.spec.firstDue, spec->firstDue) << period;
    }
}

// Guards against the same loss in the other durations of a job: its steps' estimates and targets, its queue's
// allowance.
TEST(RecordJson, KeepsTheFractionsOfEstimatesAndTargets)
{
    const absl::StatusOr<JobSpec> spec
        = platform::jobSpecFromJson(R"({"phases":[{"count":1,"estimateMs":0.7,"targetMs":12.5}]})");
    ASSERT_TRUE(spec.ok()) << spec.status();
    Job job = makeJobOf(*spec);
    job.terms.latencyAllowance = absl::Milliseconds(400.25);
    const Job decoded = encodedAndDecoded(job);
    EXPECT_EQ(decoded.spec.steps[0].estimate, absl::Milliseconds(0.7));
    EXPECT_EQ(decoded.spec.steps[0].tailLatencyTarget, absl::Milliseconds(12.5));
    EXPECT_EQ(decoded.terms.latencyAllowance, absl::Milliseconds(400.25));
}

// Guards against a period that is infinite for the reader and absent from the record: all occurrences are due at once.
TEST(RecordJson, StoresAPeriodThatIsTooLongForADuration)
{
    const absl::StatusOr<JobSpec> spec
        = platform::jobSpecFromJson(R"({"repeatCount":2,"startAtMs":1,"periodMs":1e300,"phases":[{"count":1}]})");
    ASSERT_TRUE(spec.ok()) << spec.status();
    EXPECT_GT(encodedAndDecoded(makeJobOf(*spec)).spec.period, absl::Hours(24 * 365 * 1000));
}

// Guards against a rolling update that changes the durations of jobs: earlier versions write whole milliseconds.
TEST(RecordJson, ReadsAndWritesWholeMillisecondsAsEarlierVersionsDo)
{
    const absl::StatusOr<RecordValue> decoded = decodeRecord(Collection::Jobs,
        R"({"latencyAllowanceMs":400,"periodMs":60,"steps":[{"tasks":1,"estimateMs":900,"tailTargetMs":50}]})");
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    const Job& job = std::get<Job>(*decoded);
    EXPECT_EQ(job.terms.latencyAllowance, absl::Milliseconds(400));
    EXPECT_EQ(job.spec.period, absl::Milliseconds(60));
    EXPECT_EQ(job.spec.steps[0].estimate, absl::Milliseconds(900));
    EXPECT_EQ(job.spec.steps[0].tailLatencyTarget, absl::Milliseconds(50));
    const std::string encoded = encodeRecord(job);
    for (const char* field :
        { R"("latencyAllowanceMs":400,)", R"("periodMs":60,)", R"("estimateMs":900,)", R"("tailTargetMs":50,)" })
        EXPECT_TRUE(absl::StrContains(encoded, field)) << field << " in " << encoded;
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
