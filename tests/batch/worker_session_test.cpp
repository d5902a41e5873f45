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

// Guards against a second run of a task: a start without a reply may be executed seconds later, so the refusal of its
// repetition does not prove that it will not run.
TEST_F(WorkerSessionTest, EndsARunWhoseStartGotNoReplyOnlyAfterAConfirmedStop)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    m_now += absl::Milliseconds(800);
    EXPECT_FALSE(first.isRepeated);
    EXPECT_EQ(m_session.handleReply(first, noAnswer(), m_now).unansweredStart, runOf(0));
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(6000), m_now);
    const DueCall again = due(SessionCall::Kind::Start);
    EXPECT_TRUE(again.context.isRepeated);
    WorkerReply refusal = answerOf(6100);
    refusal.refusal = WorkerRefusal::InsufficientCapacity;
    EXPECT_TRUE(m_session.handleReply(again.context, refusal, m_now).ended.empty());
    const DueCall stop = due(SessionCall::Kind::Stop);
    // A poll that was sent before the stop was confirmed does not prove it either.
    const DueCall early = due(SessionCall::Kind::Poll);
    m_now += absl::Milliseconds(2);
    EXPECT_EQ(m_session.handleReply(stop.context, answerOf(6200), m_now).barredStart, runOf(0));
    EXPECT_TRUE(m_session.handleReply(early.context, answerOf(6250), m_now).ended.empty());
    m_now += absl::Milliseconds(2);
    const DueCall proof = due(SessionCall::Kind::Poll);
    const SessionUpdate update = m_session.handleReply(proof.context, answerOf(6300), m_now);
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().evidence, EndEvidence::AbsentFromPoll);
    EXPECT_TRUE(m_session.runs().empty());
}

// Guards against running work that is given up: the response to its start was lost, and the worker, which is unhealthy
// by then, refuses the repeated start whether the run is there or not.
TEST_F(WorkerSessionTest, KeepsARunWhoseRepeatedStartAnUnhealthyWorkerRefuses)
{
    settle();
    refuseRepeatedStart(WorkerRefusal::Unhealthy);
    m_now += absl::Seconds(1);
    EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
    const DueCall poll = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(poll.call.command).wait, absl::ZeroDuration());
    WorkerReply list = answerOf(7100);
    list.running = { { runOf(0), "", 10 } };
    EXPECT_TRUE(m_session.handleReply(poll.context, list, m_now).ended.empty());
    EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
}

// The run is not there, but its first start may still be executed.
TEST_F(WorkerSessionTest, BarsARunWhoseRefusedStartTheNextPollDoesNotShow)
{
    settle();
    refuseRepeatedStart(WorkerRefusal::Unhealthy);
    m_now += absl::Milliseconds(1);
    EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(6200), m_now).ended.empty());
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
}

// Guards against a task that begins on a worker long after it was known to drain.
TEST_F(WorkerSessionTest, SendsNoStartAgainToADrainingWorker)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    WorkerEntry draining = makeWorkerEntry("w");
    draining.isDraining = true;
    m_session.update(draining, m_now, m_now);
    m_now += absl::Milliseconds(800);
    m_session.handleReply(first, noAnswer(), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(6000), m_now);
    m_now += absl::Seconds(1);
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
    EXPECT_EQ(m_session.handleReply(due(SessionCall::Kind::Stop).context, answerOf(7000), m_now).barredStart, runOf(0));
    m_now += absl::Milliseconds(2);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(7000), m_now);
    m_now += absl::Milliseconds(2);
    const SessionUpdate update = m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(7100), m_now);
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().end, RunEnd::Stopped);
}

TEST_F(WorkerSessionTest, ListsStalledRuns)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    WorkerReply reply = answerOf(5200);
    for (int percent : { 10, 20, 20, 20 }) {
        m_now += absl::Milliseconds(700);
        reply.running = { { runOf(0), "", percent } };
        m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
        EXPECT_EQ(m_session.stalledRuns(m_now).size(), m_now >= start + absl::Milliseconds(2600) ? 1U : 0U);
    }
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
