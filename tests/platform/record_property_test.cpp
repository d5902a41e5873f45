// Tests that a submitted job, and what is known of its tasks, comes back from the store as it was.
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

#include "gtest/gtest.h"

#include "adapters/json/batch_record_json_func.h"
#include "adapters/json/field_reader_base.h"
#include "adapters/json/json_text_func.h"
#include "platform/job_json_func.h"
#include "rapidcheck/gtest.h"

namespace mangohall::batch {
namespace {

// RapidCheck reads its seed from this variable before the first property. A value that is set already takes precedence.
const int seedIsSet = setenv("RC_PARAMS", "seed=69 max_success=500", 0);

constexpr std::int64_t bytesPerMegabyte = 1 << 20;
constexpr double maxMilliseconds = 2e12;
constexpr int maxTextLength = 12;

template <typename T> T arbitrary(T least, T most)
{
    return *rc::gen::inRange<T>(least, most + 1);
}

// A number of milliseconds with any fraction that a double of this size can have.
double arbitraryMilliseconds(double most)
{
    const double share = static_cast<double>(arbitrary<std::int64_t>(0, maxExactInteger)) / maxExactInteger;
    return arbitrary(0, 3) == 0 ? std::floor(share * most) : share * most;
}

// Text of any characters, among them controls, quotation marks and characters of several bytes.
std::string arbitraryText()
{
    constexpr char32_t afterSurrogates = 0xe000;
    constexpr char32_t firstSurrogate = 0xd800;
    constexpr char32_t last = 0x10ffff;
    std::string escaped = "\"";
    const int length = arbitrary(0, maxTextLength);
    for (int i = 0; i < length; ++i) {
        const auto basic = arbitrary<std::uint32_t>(0, 0x2ff);
        const auto other = arbitrary<std::uint32_t>(0, last);
        char32_t character = arbitrary(0, 2) == 0 ? other : basic;
        if (character >= firstSurrogate && character < afterSurrogates)
            character = U'?';
        char text[16];
        const auto high = 0xd7c0U + (static_cast<unsigned>(character) >> 10U);
        const auto low = 0xdc00U + (static_cast<unsigned>(character) & 0x3ffU);
        if (character > 0xffff)
            std::snprintf(text, sizeof(text), "\\u%04x\\u%04x", high, low);
        else
            std::snprintf(text, sizeof(text), "\\u%04x", static_cast<unsigned>(character));
        escaped += text;
    }
    return nlohmann::json::parse(escaped + "\"").get<std::string>();
}

nlohmann::json arbitraryStep(int index)
{
    nlohmann::json step = { { "count", arbitrary(1, 9) }, { "cpu", arbitrary<std::int64_t>(0, 1 << 30) },
        { "memMb", arbitrary<std::int64_t>(0, 1 << 30) }, { "gpu", arbitrary(0, 1 << 20) },
        { "estimateMs", arbitraryMilliseconds(1e7) }, { "gang", arbitrary(0, 1) == 1 },
        { "rackLocal", arbitrary(0, 1) == 1 }, { "checkpointing", arbitrary(0, 1) == 1 },
        { "speculative", arbitrary(0, 1) == 1 }, { "longRunning", arbitrary(0, 1) == 1 },
        { "fillCount", arbitrary(0, 1) == 1 }, { "constraints", arbitraryText() }, { "affinity", arbitraryText() },
        { "antiAffinity", arbitrary(0, std::numeric_limits<std::int32_t>::max() - 1) }, { "image", arbitraryText() },
        { "targetMs", arbitraryMilliseconds(1e5) },
        { "allowMiss", arbitrary(0, std::numeric_limits<std::int32_t>::max() - 1) } };
    if (index > 0)
        step["after"] = { arbitrary(0, index - 1) };
    return step;
}

nlohmann::json arbitrarySubmission()
{
    nlohmann::json job = { { "spec", arbitraryText() }, { "repeatCount", arbitrary(0, 99) },
        { "periodMs", arbitraryMilliseconds(1e9) }, { "phases", nlohmann::json::array() } };
    if (arbitrary(0, 1) == 1)
        job["startAtMs"] = arbitraryMilliseconds(maxMilliseconds);
    const int steps = arbitrary(1, 4);
    for (int step = 0; step < steps; ++step)
        job["phases"].push_back(arbitraryStep(step));
    return job;
}

void expectStep(const StepSpec& step, const nlohmann::json& submitted)
{
    RC_ASSERT(step.taskCount == submitted["count"].get<std::int32_t>());
    RC_ASSERT(step.demand.cpuMillis == submitted["cpu"].get<std::int64_t>());
    RC_ASSERT(step.demand.memoryBytes == submitted["memMb"].get<std::int64_t>() * bytesPerMegabyte);
    RC_ASSERT(step.demand.accelerators == submitted["gpu"].get<std::int32_t>());
    RC_ASSERT(step.estimate == absl::Milliseconds(submitted["estimateMs"].get<double>()));
    RC_ASSERT(step.after == submitted.value("after", std::vector<std::int32_t>()));
    RC_ASSERT(step.isGang == submitted["gang"].get<bool>());
    RC_ASSERT(step.isRackLocal == submitted["rackLocal"].get<bool>());
    RC_ASSERT(step.isCheckpointing == submitted["checkpointing"].get<bool>());
    RC_ASSERT(step.isSpeculative == submitted["speculative"].get<bool>());
    RC_ASSERT(step.isLongRunning == submitted["longRunning"].get<bool>());
    RC_ASSERT(step.usesSpareProcessor == submitted["fillCount"].get<bool>());
    RC_ASSERT(step.requiredLabel->str() == submitted["constraints"].get<std::string>());
    RC_ASSERT(step.dataRack->str() == submitted["affinity"].get<std::string>());
    RC_ASSERT(step.maxPerWorker == submitted["antiAffinity"].get<std::int32_t>());
    RC_ASSERT(step.image.get() == submitted["image"].get<std::string>());
    RC_ASSERT(step.tailLatencyTarget == absl::Milliseconds(submitted["targetMs"].get<double>()));
    RC_ASSERT(step.maxUnavailable == submitted["allowMiss"].get<std::int32_t>());
}

TaskProgress arbitraryTask()
{
    constexpr std::int32_t largest = std::numeric_limits<std::int32_t>::max() - 1;
    constexpr std::int64_t latestMs = std::numeric_limits<std::int64_t>::max() - 1;
    TaskProgress task;
    task.phase = static_cast<TaskProgress::Phase>(arbitrary(0, 2));
    task.attempt = arbitrary(1, largest);
    task.failures = arbitrary(0, largest);
    task.lastFailedAttempt = arbitrary(0, 1) * arbitrary(0, largest);
    task.lastStartedAttempt = arbitrary(0, 1) * arbitrary(0, largest);
    // Nothing more is kept of a task that is done and cannot start again.
    task.mayStartAgain = task.phase == TaskProgress::Phase::Done || arbitrary(0, 1) == 1;
    task.worker = WorkerName(arbitraryText());
    task.workerProcessStartMs = arbitrary<std::int64_t>(0, latestMs);
    task.earlierCommandsUntilMs = arbitrary(0, 1) * arbitrary<std::int64_t>(0, latestMs);
    task.lapsesByMs = arbitrary(0, 1) * arbitrary<std::int64_t>(0, latestMs);
    task.checkpoint = arbitraryText();
    return task;
}

template <typename T> T storedAndRead(Collection collection, const T& value)
{
    const absl::StatusOr<RecordValue> decoded = decodeRecord(collection, encodeRecord(value));
    RC_ASSERT(decoded.ok());
    return std::get<T>(*decoded);
}

// Guards against a job that runs otherwise than submitted, since a field is cut as it is read or stored.
RC_GTEST_PROP(RecordProperty, KeepsEachFieldOfASubmittedJob, ())
{
    const nlohmann::json submitted = arbitrarySubmission();
    const absl::StatusOr<JobSpec> spec = platform::jobSpecFromJson(toJsonText(submitted));
    RC_ASSERT(spec.ok());
    RC_ASSERT(spec->payload == submitted["spec"].get<std::string>());
    RC_ASSERT(spec->repeatCount == submitted["repeatCount"].get<std::int32_t>());
    RC_ASSERT(spec->period == absl::Milliseconds(submitted["periodMs"].get<double>()));
    const absl::Time firstDue = submitted.contains("startAtMs")
        ? absl::UnixEpoch() + absl::Milliseconds(submitted["startAtMs"].get<double>())
        : absl::InfinitePast();
    RC_ASSERT(spec->firstDue == firstDue || absl::AbsDuration(spec->firstDue - firstDue) <= absl::Microseconds(1));
    RC_ASSERT(spec->steps.size() == submitted["phases"].size());
    for (std::size_t step = 0; step < spec->steps.size(); ++step)
        expectStep(spec->steps[step], submitted["phases"][step]);
    Job job;
    job.id = JobId("00000000000000a1");
    job.queue = QueueName(arbitraryText());
    job.service = ServiceName(arbitraryText());
    job.organisation = OrganisationName(arbitraryText());
    job.terms = { arbitrary(0, 9), arbitrary(1, 9), arbitraryMilliseconds(100),
        absl::Milliseconds(arbitraryMilliseconds(1e6)) };
    job.acceptedAt = absl::FromUnixMillis(arbitrary<std::int64_t>(0, 1LL << 41));
    job.spec = *spec;
    RC_ASSERT(storedAndRead(Collection::Jobs, job) == job);
}

// Guards against a next owner that starts, stops or waits for another run than the one that was recorded.
RC_GTEST_PROP(RecordProperty, KeepsEachFieldOfATask, ())
{
    ProgressRecord record;
    record.phase = static_cast<JobPhase>(arbitrary(0, 4));
    if (arbitrary(0, 1) == 1)
        record.endedAt = absl::FromUnixMillis(arbitrary<std::int64_t>(0, 1LL << 41));
    StepProgress step;
    for (int index = 0; index < 4; ++index)
        step.tasks.push_back(arbitrary(0, 4) == 0 ? TaskProgress() : arbitraryTask());
    record.occurrences = { { 0, { step } } };
    RC_ASSERT(storedAndRead(Collection::Progress, record) == record);
}

// Guards against a refused or forgotten record of the ownership.
RC_GTEST_PROP(RecordProperty, KeepsTheOwnershipAndTheCounts, ())
{
    const NodeName node(arbitraryText());
    const auto epoch = arbitrary<Epoch>(0, std::numeric_limits<Epoch>::max() - 1);
    const double share = arbitraryMilliseconds(4);
    RC_ASSERT(storedAndRead(Collection::Holder, HolderRecord { node, epoch, share })
        == (HolderRecord { node, epoch, share }));
    RC_ASSERT(storedAndRead(Collection::Candidate, CandidateRecord { node, share, epoch })
        == (CandidateRecord { node, share, epoch }));
    RC_ASSERT(storedAndRead(Collection::Epoch, EpochRecord { epoch, node }) == (EpochRecord { epoch, node }));
    const QueueCounts counts { { { QueueName(arbitraryText()), arbitrary<std::int64_t>(0, 1LL << 60) } } };
    RC_ASSERT(storedAndRead(Collection::QueueCounts, counts) == counts);
    const AdmissionLimit limit { arbitrary<std::int64_t>(0, 1LL << 60), arbitrary<std::int64_t>(0, 1LL << 60) };
    RC_ASSERT(storedAndRead(Collection::Admission, limit) == limit);
}

// Guards against LIMIT: a task that takes more than was reserved for it, since the fraction of its request was cut.
TEST(RecordProperty, RoundsUpTheFractionOfARequest)
{
    const absl::StatusOr<JobSpec> spec
        = platform::jobSpecFromJson(R"({"phases":[{"count":1,"cpu":0.5,"memMb":1.25}]})");
    ASSERT_TRUE(spec.ok()) << spec.status();
    EXPECT_EQ(spec->steps[0].demand.cpuMillis, 1);
    EXPECT_EQ(spec->steps[0].demand.memoryBytes, bytesPerMegabyte + bytesPerMegabyte / 4);
}

// Guards against a job that is accepted and runs fewer tasks than it was submitted with.
TEST(RecordProperty, RejectsTheFractionOfACount)
{
    for (const char* field : { "count", "gpu", "antiAffinity", "allowMiss" }) {
        nlohmann::json step = { { "count", 1 } };
        step[field] = 1.5;
        const nlohmann::json job = { { "phases", { step } } };
        EXPECT_FALSE(platform::jobSpecFromJson(toJsonText(job)).ok()) << field;
        step[field] = 2.0;
        EXPECT_TRUE(platform::jobSpecFromJson(toJsonText({ { "phases", { step } } })).ok()) << field;
    }
    EXPECT_FALSE(platform::jobSpecFromJson(R"({"repeatCount":1.5,"phases":[{"count":1}]})").ok());
}

} // namespace
} // namespace mangohall::batch
