// Tests of the commands on jobs.
#include "adapters/json/answer_json_func.h"
#include "programs/ctl/fake_entry_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

FakeEntry::Handler respondWithJob(JobPhase phase, ErrorKind outcome = ErrorKind::None)
{
    return [phase, outcome](const HttpRequest&) {
        JobAnswer answer;
        answer.status.phase = phase;
        answer.status.outcome = outcome;
        const EncodedAnswer encoded = encodeAnswer(answer);
        return HttpResponse { encoded.httpStatus, {}, encoded.body };
    };
}

FakeEntry::Handler respondWithError(ErrorKind kind)
{
    return [kind](const HttpRequest&) { return errorResponse(kind); };
}

class JobCommandsTest : public testing::Test, protected ClientFixture {
protected:
    ExitCode submit(FakeEntry::Handler handler, const std::string& wait = "0")
    {
        const std::string file = writeFile("job.json", R"({"service":"regdesk"})");
        m_entry.m_handlers = { std::move(handler) };
        return run({ "submit", "-f", file, "--key", "k1", "--wait", wait });
    }
};

TEST_F(JobCommandsTest, SubmitsAJobUnderItsKey)
{
    EXPECT_EQ(submit(respondWithJob(JobPhase::Ended), "1500"), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_requests[0].url, "http://one/v1/jobs/k1?waitMs=1500");
    EXPECT_EQ(m_entry.m_requests[0].method, "PUT");
    EXPECT_EQ(m_entry.m_requests[0].timeout, absl::Milliseconds(6500));
    EXPECT_EQ(nlohmann::json::parse(m_out.str())["requestKey"], "k1");
}

TEST_F(JobCommandsTest, MapsEachOutcomeToItsExitCode)
{
    EXPECT_EQ(submit(respondWithJob(JobPhase::Queued)), ExitCode::Ok);
    EXPECT_EQ(submit(respondWithJob(JobPhase::Queued), "10"), ExitCode::OutcomeUnknown);
    EXPECT_EQ(submit(respondWithError(ErrorKind::TimedOut), "10"), ExitCode::OutcomeUnknown);
    EXPECT_EQ(submit(respondWithJob(JobPhase::Ended, ErrorKind::TaskFailed)), ExitCode::Refused);
    EXPECT_EQ(submit(respondWithJob(JobPhase::Ended, ErrorKind::OutcomeUnknown)), ExitCode::OutcomeUnknown);
    EXPECT_EQ(submit(respondWithError(ErrorKind::NeverFits)), ExitCode::Refused);
    EXPECT_TRUE(m_pause.m_pauses.empty());
}

TEST_F(JobCommandsTest, RetriesOnlyRetryableErrorsAndUpToTheLimit)
{
    m_entry.m_handlers.clear();
    EXPECT_EQ(submit(respondWithError(ErrorKind::KeyReused)), ExitCode::Refused);
    EXPECT_EQ(m_entry.m_requests.size(), 1U);
    const std::string file = writeFile("job.json", R"({"key":"k2","spec":{"service":"regdesk"}})");
    m_entry.m_requests.clear();
    m_entry.m_handlers = { respondWithError(ErrorKind::QueueFull), respondWithError(ErrorKind::RateLimited),
        respondWithJob(JobPhase::Queued) };
    EXPECT_EQ(run({ "submit", "-f", file }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_requests.size(), 3U);
    m_entry.m_requests.clear();
    m_entry.m_handlers.assign(100, respondWithError(ErrorKind::QueueFull));
    EXPECT_EQ(run({ "submit", "-f", file }), ExitCode::Refused);
    EXPECT_EQ(m_entry.m_requests.size(), static_cast<std::size_t>(maxAttempts));
}

TEST_F(JobCommandsTest, TriesAnotherEntryWhenOneIsDraining)
{
    const std::string file = writeFile("job.json", R"({"key":"k1","spec":{"service":"regdesk"}})");
    m_entry.m_handlers = { respondWithError(ErrorKind::Draining), respondWithJob(JobPhase::Queued) };
    EXPECT_EQ(run({ "submit", "-f", file }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_requests[1].url, "http://two/v1/jobs/k1?waitMs=0");
    EXPECT_TRUE(m_pause.m_pauses.empty());
}

TEST_F(JobCommandsTest, SubmitsAllJobsBeforeItWaitsForOne)
{
    const std::string file = writeFile("jobs.json",
        R"([{"key":"a","spec":{"service":"s"}},{"key":"b","organisation":"zagara","spec":{"service":"s"}}])");
    m_entry.m_handlers = { respondWithJob(JobPhase::Queued), respondWithJob(JobPhase::Queued),
        respondWithJob(JobPhase::Ended), respondWithJob(JobPhase::Ended, ErrorKind::TaskFailed) };
    EXPECT_EQ(run({ "submit", "-f", file, "--wait", "100" }), ExitCode::Refused);
    ASSERT_EQ(m_entry.m_requests.size(), 4U);
    EXPECT_EQ(m_entry.m_requests[1].url, "http://one/v1/jobs/b?waitMs=0&organisation=zagara");
    EXPECT_EQ(m_entry.m_requests[2].method, "GET");
    EXPECT_EQ(m_entry.m_requests[2].url, "http://one/v1/jobs/a?waitMs=100");
}

TEST_F(JobCommandsTest, ReportsWhetherAJobMayHaveRunWhenNoEntryResponds)
{
    const std::string file = writeFile("job.json", R"({"key":"k1","spec":{"service":"regdesk"}})");
    m_entry.m_handlers.assign(100, [](const HttpRequest&) { return refusedConnection(); });
    EXPECT_EQ(run({ "submit", "-f", file }), ExitCode::Unreachable);
    EXPECT_EQ(nlohmann::json::parse(m_out.str())["execution"], "notRun");
    m_out.str("");
    m_entry.m_handlers.assign(100, [](const HttpRequest&) { return refusedConnection(); });
    m_entry.m_handlers.push_front([](const HttpRequest&) { return lostResponse(); });
    EXPECT_EQ(run({ "submit", "-f", file }), ExitCode::OutcomeUnknown);
    EXPECT_EQ(nlohmann::json::parse(m_out.str())["execution"], "unknown");
}

TEST_F(JobCommandsTest, SendsNothingFromAnInvalidFile)
{
    for (const char* text : { "{", R"({"key":"a b","spec":{"service":"s"}})", R"({"key":"a","spec":{}})",
             R"([{"key":"a","spec":{"service":"s"}},{"key":"b","spec":{"service":"s","x":1}}])", R"([1])" })
        EXPECT_EQ(run({ "submit", "-f", writeFile("job.json", text) }), ExitCode::Usage) << text;
    EXPECT_TRUE(m_entry.m_requests.empty());
}

TEST_F(JobCommandsTest, ReportsSuccessWhenTheJobWasCancelled)
{
    m_entry.m_handlers = { respondWithJob(JobPhase::Ended, ErrorKind::CancelledBeforeRun) };
    EXPECT_EQ(run({ "cancel", "k1", "--organisation", "zagara" }), ExitCode::Ok);
    EXPECT_EQ(m_entry.m_requests[0].method, "DELETE");
    m_entry.m_handlers = { respondWithError(ErrorKind::NotFound) };
    EXPECT_EQ(run({ "cancel", "k1" }), ExitCode::Refused);
    m_entry.m_handlers = { respondWithJob(JobPhase::Ended, ErrorKind::OutcomeUnknown) };
    EXPECT_EQ(run({ "get", "jobs", "k1" }), ExitCode::OutcomeUnknown);
}

} // namespace
} // namespace mangohall
