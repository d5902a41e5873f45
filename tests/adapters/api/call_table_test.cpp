// Calls that wait for the node, and the streams of watches.
#include "adapters/api/call_table_base.h"

#include <string>

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// Counts the calls of suspend and resume.
class FakeConnection : public CallConnection {
public:
    void suspend() override { ++m_suspensions; }
    void resume() override { ++m_resumptions; }

    int m_suspensions = 0;
    int m_resumptions = 0;
};

class CallTableTest : public testing::Test {
protected:
    // Reads the stream in small blocks until no data is left; m_lastKind is then the kind of the last result.
    std::string readAll(CallerId caller)
    {
        std::string text;
        std::string buffer(8, ' ');
        while (true) {
            const StreamReadResult result = m_table.readStream(caller, absl::MakeSpan(buffer));
            m_lastKind = result.kind;
            if (result.kind != StreamReadResult::Kind::Data)
                return text;
            text += buffer.substr(0, result.size);
        }
    }

    CallStep step(CallerId caller) { return m_table.step(caller, m_answer); }

    // At most 2 watches, each with a backlog of at most 64 bytes.
    CallTable m_table { 2, 64 };
    FakeConnection m_connection;
    EncodedAnswer m_answer;
    StreamReadResult::Kind m_lastKind = StreamReadResult::Kind::Wait;
};

TEST_F(CallTableTest, ResumesOnceWithTheWholeAnswer)
{
    ASSERT_TRUE(m_table.open(1, m_connection, false).ok());
    EXPECT_EQ(step(1), CallStep::Wait);
    EXPECT_EQ(m_connection.m_suspensions, 1);
    m_table.answer(1, { 200, "first" }, true);
    m_table.answer(1, { 200, "second" }, true);
    EXPECT_EQ(m_connection.m_resumptions, 1);
    EXPECT_EQ(step(1), CallStep::Answer);
    EXPECT_EQ(m_answer.body, "first");
    EXPECT_FALSE(m_table.close(1));
}

TEST_F(CallTableTest, ReportsOnCloseWhetherAnAnswerIsPending)
{
    ASSERT_TRUE(m_table.open(1, m_connection, false).ok());
    EXPECT_EQ(step(1), CallStep::Wait);
    m_table.abandon(1);
    EXPECT_EQ(m_connection.m_resumptions, 1);
    EXPECT_EQ(step(1), CallStep::Close);
    EXPECT_TRUE(m_table.close(1));
    m_table.answer(1, { 200, "late" }, true);
    EXPECT_EQ(step(1), CallStep::Close);
}

TEST_F(CallTableTest, StreamsWholeLinesAndHeartbeats)
{
    ASSERT_TRUE(m_table.open(1, m_connection, true).ok());
    EXPECT_EQ(step(1), CallStep::Wait);
    m_table.sendHeartbeats("beat\n");
    EXPECT_EQ(step(1), CallStep::Stream);
    m_table.answer(1, { 200, "change one" }, false);
    EXPECT_EQ(readAll(1), "beat\nchange one\n");
    EXPECT_EQ(m_lastKind, StreamReadResult::Kind::Wait);
    m_table.answer(1, { 410, "expired" }, true);
    EXPECT_EQ(readAll(1), "expired\n");
    EXPECT_EQ(m_lastKind, StreamReadResult::Kind::End);
    EXPECT_FALSE(m_table.close(1));
}

TEST_F(CallTableTest, RefusesAWatchBeforeItsStreamWithAStatus)
{
    ASSERT_TRUE(m_table.open(1, m_connection, true).ok());
    m_table.answer(1, { 410, "expired" }, true);
    EXPECT_EQ(step(1), CallStep::Answer);
    EXPECT_EQ(m_answer.httpStatus, 410);
}

TEST_F(CallTableTest, EndsAWatchThatLagsAfterAWholeLine)
{
    ASSERT_TRUE(m_table.open(1, m_connection, true).ok());
    const std::string line(70, 'x');
    m_table.answer(1, { 200, line }, false);
    m_table.answer(1, { 200, "too late" }, false);
    EXPECT_EQ(step(1), CallStep::Stream);
    EXPECT_EQ(readAll(1), line + "\n");
    EXPECT_EQ(m_lastKind, StreamReadResult::Kind::End);
    EXPECT_TRUE(m_table.close(1));
}

TEST_F(CallTableTest, LimitsWatchesOnly)
{
    EXPECT_TRUE(m_table.open(1, m_connection, true).ok());
    EXPECT_TRUE(m_table.open(2, m_connection, true).ok());
    EXPECT_EQ(errorKindOf(m_table.open(3, m_connection, true)), ErrorKind::TooManyWatches);
    EXPECT_TRUE(m_table.open(4, m_connection, false).ok());
    m_table.close(1);
    EXPECT_TRUE(m_table.open(5, m_connection, true).ok());
}

TEST_F(CallTableTest, LeavesNothingSuspendedOnceShutDown)
{
    ASSERT_TRUE(m_table.open(1, m_connection, false).ok());
    EXPECT_EQ(step(1), CallStep::Wait);
    m_table.answerAll({ 202, "stopping" });
    EXPECT_EQ(step(1), CallStep::Answer);
    EXPECT_EQ(step(1), CallStep::Wait);
    m_table.shutDown();
    EXPECT_EQ(m_connection.m_suspensions, m_connection.m_resumptions);
    EXPECT_EQ(step(1), CallStep::Close);
    EXPECT_EQ(errorKindOf(m_table.open(2, m_connection, false)), ErrorKind::Draining);
}

} // namespace
} // namespace mangohall
