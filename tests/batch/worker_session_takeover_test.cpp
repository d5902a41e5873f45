// A worker whose address another worker has taken over.
#include "batch/worker_session_fixture_base.h"

namespace mangohall::batch {
namespace {

class TakenOverSession : public WorkerSessionTest {
protected:
    // The refusal of a call that has met another worker's process.
    static WorkerReply otherProcess()
    {
        WorkerReply reply;
        reply.refusal = WorkerRefusal::OtherProcess;
        return reply;
    }

    TakenOverSession() { m_session.update(makeWorkerEntry("w"), m_now, m_now); }

    // A poll gets no reply, and the next one meets another worker.
    void refuseAPoll()
    {
        m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
        m_now += absl::Seconds(1);
        m_session.handleReply(due(SessionCall::Kind::Poll).context, otherProcess(), m_now);
    }

    // As above, and that worker has replied to the owner.
    void takeOver()
    {
        refuseAPoll();
        m_session.recordOtherWorker("w", m_now);
    }

    EndEvidence evidenceOfOnlyEnd()
    {
        const std::vector<EndedRun> ended = m_session.takeLapsedRuns(m_now);
        EXPECT_EQ(ended.size(), 1U);
        return ended.empty() ? EndEvidence::Listed : ended.front().evidence;
    }
};

TEST_F(TakenOverSession, EndsARunWhoseStartGotNoReply)
{
    settle();
    leaveStartWithoutReply();
    takeOver();
    EXPECT_EQ(evidenceOfOnlyEnd(), EndEvidence::AddressTakenOver);
    EXPECT_FALSE(m_session.mayStillStart(runOf(0)));
    EXPECT_EQ(m_session.freeCapacity(), makeWorkerEntry("w").capacity);
}

TEST_F(TakenOverSession, EndsARunThatHasShown)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    takeOver();
    EXPECT_EQ(evidenceOfOnlyEnd(), EndEvidence::AddressTakenOver);
}

// Guards against an end that is told wrongly: the worker has listed it before it was replaced.
TEST_F(TakenOverSession, KeepsAnEndThatWasListedWhileAStartWasInDoubt)
{
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 1 }, false, m_now);
    WorkerReply list = answerOf(5000);
    list.ended = { { 1, runOf(0), RunEnd::Failed, "" } };
    EXPECT_TRUE(answerPoll(list).ended.empty());
    m_now += absl::Seconds(1);
    takeOver();
    const std::vector<EndedRun> ended = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().end, RunEnd::Failed);
}

TEST_F(TakenOverSession, IsNeitherCalledNorListedAnyMore)
{
    settle();
    leaveStartWithoutReply();
    takeOver();
    m_session.takeLapsedRuns(m_now);
    EXPECT_FALSE(m_session.isListed());
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    m_now += absl::Seconds(5);
    EXPECT_FALSE(isDue(SessionCall::Kind::Poll));
    EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    // What was sent to it has no effect any more some time later.
    m_now += absl::Seconds(30);
    takeCalls();
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

TEST_F(TakenOverSession, KeepsARunThatARefusalAloneSpeaksAgainst)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    refuseAPoll();
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    EXPECT_TRUE(m_session.runs().contains(runOf(0)));
    EXPECT_TRUE(m_session.isListed());
}

TEST_F(TakenOverSession, AcceptsWorkAgainOnceALaterProcessOfTheWorkerReplies)
{
    settle();
    leaveStartWithoutReply();
    takeOver();
    EXPECT_FALSE(m_session.isListed());
    m_session.takeLapsedRuns(m_now);
    m_now += absl::Seconds(20);
    nameLaterStart();
    EXPECT_TRUE(m_session.isListed());
    WorkerReply reply = answerOf(50);
    reply.processStartMs = processStartMs + 1;
    m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

} // namespace
} // namespace mangohall::batch
