// Tests of the JSON encoding of jobs.
#include "adapters/json/job_json_func.h"

#include "adapters/json/config_json_func.h"
#include "adapters/json/json_text_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

absl::StatusOr<JobSpec> readSpec(absl::string_view text)
{
    const absl::StatusOr<nlohmann::json> fields = parseJson(text);
    if (!fields.ok())
        return fields.status();
    return jobSpecFromJson(*fields, "spec");
}

void expectRefused(absl::string_view text, ErrorKind kind, absl::string_view path)
{
    const absl::StatusOr<JobSpec> spec = readSpec(text);
    ASSERT_FALSE(spec.ok()) << text;
    EXPECT_EQ(errorKindOf(spec.status()), kind) << text;
    EXPECT_EQ(spec.status().message().substr(0, path.size()), path) << spec.status().message();
}

TEST(JobJson, KeepsEveryField)
{
    JobSpec spec;
    spec.service = ServiceName("regdesk");
    spec.shape = { 4, 8, Adjacency::SameRack };
    spec.cpuMillisPerTask = 1500;
    spec.memoryBytesPerTask = 1 << 30;
    spec.expectedRunTime = absl::Milliseconds(2500);
    spec.deadline = absl::Seconds(90);
    spec.priority = Priority::Urgent;
    spec.isIdempotent = true;
    spec.isCheckpointable = true;
    spec.acceptsStop = true;
    spec.payload = "renew \"a.example\"";
    EXPECT_EQ(jobSpecFromJson(toJson(spec)).value(), spec);
    spec.deadline = absl::InfiniteDuration();
    spec.payload = std::string("\xff\x00\xfe", 3);
    EXPECT_EQ(jobSpecFromJson(toJson(spec)).value(), spec);
}

TEST(JobJson, ReportsThePathOfAnInvalidField)
{
    expectRefused(R"({"service":"a")", ErrorKind::MalformedBody, "not JSON");
    expectRefused(R"([])", ErrorKind::InvalidValue, "spec: ");
    expectRefused(R"({})", ErrorKind::InvalidValue, "spec.service: ");
    expectRefused(R"({"service":"a","colour":1})", ErrorKind::UnknownField, "spec.colour: ");
    expectRefused(R"({"service":"a","shape":{"taskz":1}})", ErrorKind::UnknownField, "spec.shape.taskz: ");
    expectRefused(R"({"service":"a","shape":{"tasks":"1"}})", ErrorKind::InvalidValue, "spec.shape.tasks: ");
    expectRefused(R"({"service":"a","shape":{"tasks":0}})", ErrorKind::InvalidValue, "spec.shape.tasks: ");
    expectRefused(R"({"service":"a","shape":[]})", ErrorKind::InvalidValue, "spec.shape: ");
    expectRefused(R"({"service":"a","priority":"high"})", ErrorKind::InvalidValue, "spec.priority: ");
    expectRefused(R"({"service":"a","deadlineMs":1.5})", ErrorKind::InvalidValue, "spec.deadlineMs: ");
    expectRefused(R"({"service":"a","deadlineMs":0})", ErrorKind::InvalidValue, "spec.deadlineMs: ");
    expectRefused(R"({"service":"a","payloadBase64":"*"})", ErrorKind::InvalidValue, "spec.payloadBase64: ");
    expectRefused(
        R"({"service":"a","payload":"","payloadBase64":""})", ErrorKind::InvalidValue, "spec.payloadBase64: ");
}

TEST(JobJson, ReportsExecutionAsUnknownBeforeTheEnd)
{
    JobStatus status;
    status.key = { OrganisationName("zagara"), "k1" };
    status.acceptedAt = absl::UnixEpoch();
    for (const JobPhase phase : { JobPhase::Queued, JobPhase::Claimed, JobPhase::Released }) {
        status.phase = phase;
        const nlohmann::json body = toJson(status);
        EXPECT_EQ(body["execution"], "unknown");
        EXPECT_FALSE(body.contains("outcome"));
        EXPECT_FALSE(body.contains("endedAt"));
    }
    EXPECT_EQ(toJson(status)["acceptedAt"], "1970-01-01T00:00:00+00:00");
}

TEST(JobJson, GivesOutcomeExecutionAndResultsAtTheEnd)
{
    JobStatus status;
    status.phase = JobPhase::Ended;
    status.results = { "one", "two" };
    EXPECT_EQ(toJson(status)["outcome"], "succeeded");
    EXPECT_EQ(toJson(status)["execution"], "ran");
    EXPECT_EQ(toJson(status)["results"], nlohmann::json({ "one", "two" }));
    status.results = { "one", "\xff" };
    EXPECT_EQ(toJson(status)["resultsEncoding"], "base64");
    EXPECT_EQ(toJson(status)["results"], nlohmann::json({ "b25l", "/w==" }));
    status.outcome = ErrorKind::CancelledBeforeRun;
    EXPECT_EQ(toJson(status)["execution"], "notRun");
}

} // namespace
} // namespace mangohall
