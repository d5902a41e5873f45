#include "batch/owner/command_window_base.h"

#include <vector>

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr double smallShare = 0.12;
constexpr absl::Duration promptly = absl::Milliseconds(20);
constexpr absl::Duration late = absl::Milliseconds(400);

class CommandWindowTest : public testing::Test {
protected:
    // Sends as many commands as there is room for, and returns when they were sent.
    std::vector<CallId> fill()
    {
        std::vector<CallId> calls;
        for (std::size_t room = m_window.room(m_now); room > 0; --room) {
            calls.push_back(++m_lastCall);
            m_window.recordSent(m_lastCall, m_now);
        }
        return calls;
    }

    // Fills the window, and replies to all commands after the time.
    void exchange(absl::Duration replyTime)
    {
        const absl::Time sentAt = m_now;
        const std::vector<CallId> calls = fill();
        EXPECT_EQ(m_window.room(m_now), 0U);
        m_now += replyTime;
        for (const CallId call : calls)
            m_window.recordReply(call, sentAt, m_now);
    }

    CommandWindow m_window { smallShare };
    CallId m_lastCall = 0;
    absl::Time m_now = absl::FromUnixSeconds(1700000000);
};

TEST_F(CommandWindowTest, GrowsWhileRepliesComePromptly)
{
    const std::size_t initial = m_window.size();
    exchange(promptly);
    EXPECT_GT(m_window.size(), initial);
}

TEST_F(CommandWindowTest, ShrinksWhileRepliesComeLateButNeverToNothing)
{
    const std::size_t initial = m_window.size();
    exchange(late);
    EXPECT_LT(m_window.size(), initial);
    for (int count = 0; count < 20; ++count)
        exchange(late);
    EXPECT_GT(m_window.room(m_now), 0U);
}

TEST_F(CommandWindowTest, DoesNotGrowUnlessItIsFull)
{
    const std::size_t initial = m_window.size();
    for (int count = 0; count < 100; ++count) {
        m_window.recordSent(++m_lastCall, m_now);
        m_window.recordReply(m_lastCall, m_now, m_now + promptly);
        m_now += promptly;
    }
    EXPECT_EQ(m_window.size(), initial);
}

// Guards against a cut-off rack that holds up the starts on all other workers.
TEST_F(CommandWindowTest, IsNotHeldUpBySilentWorkers)
{
    const std::size_t initial = m_window.size();
    const absl::Time sentAt = m_now;
    const std::vector<CallId> silent = fill();
    EXPECT_EQ(m_window.room(m_now), 0U);
    m_now = m_window.nextRoomAt();
    EXPECT_EQ(m_window.room(m_now), initial);
    exchange(promptly);
    for (const CallId call : silent)
        m_window.recordFailure(call, sentAt);
    EXPECT_GE(m_window.size(), initial);
}

TEST_F(CommandWindowTest, ShrinksIfNoCommandGetsAReply)
{
    const std::size_t initial = m_window.size();
    const absl::Time sentAt = m_now;
    for (const CallId call : fill())
        m_window.recordFailure(call, sentAt);
    EXPECT_LT(m_window.size(), initial);
}

TEST_F(CommandWindowTest, LetsStartsWaitLongerForSlowReplies)
{
    const absl::Duration usual = m_window.retryPeriod();
    for (int count = 0; count < 20; ++count)
        exchange(late);
    EXPECT_GT(m_window.retryPeriod(), usual);
}

} // namespace
} // namespace mangohall::batch
