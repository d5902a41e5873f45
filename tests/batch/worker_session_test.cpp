// Starts, stops and the progress of runs on one worker.
#include "batch/worker_session_fixture_base.h"

namespace mangohall::batch {
namespace {

TEST_F(WorkerSessionTest, TakesNoWorkBeforeItHasSeenTheEpoch)
{
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    settle();
}

// A run whose start was sent is not dropped when it is stopped twice.
TEST_F(WorkerSessionTest, KeepsASentRunThroughTwoStops)
{
    settle();
    startRun(runOf(0));
    EXPECT_FALSE(m_session.stop(runOf(0), m_now));
    EXPECT_FALSE(m_session.stop(runOf(0), m_now));
    EXPECT_EQ(m_session.runs().size(), 1U);
}

TEST_F(WorkerSessionTest, DropsARunThatWasNeverSent)
{
    settle();
    m_session.reserve(runOf(0), { 100, 100, 4 }, m_now);
    const absl::optional<EndedRun> ended = m_session.stop(runOf(0), m_now);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->end, RunEnd::NotStarted);
    EXPECT_EQ(ended->evidence, EndEvidence::NeverSent);
    EXPECT_EQ(m_session.freeCapacity().accelerators, 8);
}

TEST_F(WorkerSessionTest, StopsARunWithoutWaitingForTheAnswerToItsStart)
{
    settle();
    startRun(runOf(0));
    m_session.stop(runOf(0), m_now);
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
}

// Urgent work need not evict a run where capacity is about to become free anyway.
TEST_F(WorkerSessionTest, EstimatesTheRemainingTimeOfARun)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    EXPECT_EQ(WorkerSession::remainingTime(m_session.runs().at(runOf(0)), m_now), absl::InfiniteDuration());
    m_now += absl::Seconds(4);
    WorkerReply reply = answerOf(9100);
    reply.running = { { runOf(0), "", 80 } };
    m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    EXPECT_EQ(WorkerSession::remainingTime(m_session.runs().at(runOf(0)), m_now), absl::Seconds(1));
    m_now += absl::Milliseconds(400);
    EXPECT_EQ(WorkerSession::remainingTime(m_session.runs().at(runOf(0)), m_now), absl::Milliseconds(600));
}

// Guards against urgent work that waits for a run which stands still shortly before its expected end.
TEST_F(WorkerSessionTest, ExpectsNoEndOfARunThatHasOutlastedItsExpectedEnd)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_now += absl::Seconds(4);
    WorkerReply reply = answerOf(9100);
    reply.running = { { runOf(0), "", 80 } };
    m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    const RunSlot& slot = m_session.runs().at(runOf(0));
    const absl::Time expectedEnd = m_now + absl::Seconds(1);
    const absl::Duration within = absl::Milliseconds(500);
    EXPECT_FALSE(WorkerSession::isAboutToEnd(slot, within, expectedEnd - absl::Milliseconds(600)));
    EXPECT_TRUE(WorkerSession::isAboutToEnd(slot, within, expectedEnd - absl::Milliseconds(400)));
    EXPECT_TRUE(WorkerSession::isAboutToEnd(slot, within, expectedEnd + absl::Milliseconds(500)));
    EXPECT_FALSE(WorkerSession::isAboutToEnd(slot, within, expectedEnd + absl::Seconds(1)));
}

TEST_F(WorkerSessionTest, KeepsCapacityUntilAStoppedRunIsListedAsEnded)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(startCall, answerOf(5100), m_now);
    m_session.stop(runOf(0), m_now);
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
    EXPECT_EQ(m_session.freeCapacityAfterStops().accelerators, 8);
}

} // namespace
} // namespace mangohall::batch
