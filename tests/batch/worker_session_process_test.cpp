// Restarts under a worker's name, and the ends that its processes list.
#include "batch/worker_session_fixture_base.h"

namespace mangohall::batch {
namespace {

TEST_F(WorkerSessionTest, EndsRunsOfAnEarlierProcess)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(startCall, answerOf(5100), m_now);
    nameLaterStart();
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    EXPECT_EQ(m_session.runs().size(), 1U);
    WorkerReply reply = answerOf(50);
    reply.processStartMs = processStartMs + 1;
    const std::vector<EndedRun> ended = m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now).ended;
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().evidence, EndEvidence::ProcessReplaced);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Guards against a second run of a task, and against a worker that is never used again: another writer's row names a
// later start, and the worker's runs go on.
TEST_F(WorkerSessionTest, KeepsRunsUntilTheWorkerConfirmsALaterStart)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5150), m_now);
    nameLaterStart();
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    const DueCall poll = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(poll.call.command).wait, absl::ZeroDuration());
    EXPECT_EQ(poll.call.leaseUntil, 0);
    WorkerReply reply = answerOf(5200);
    reply.running = { { runOf(0), "", 10 } };
    EXPECT_TRUE(m_session.handleReply(poll.context, reply, m_now).ended.empty());
    EXPECT_TRUE(m_session.runs().contains(runOf(0)));
    EXPECT_TRUE(m_session.acceptsWork(m_now));
    // The same row again raises no new suspicion.
    nameLaterStart();
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Guards against trusting the reply to a poll that was sent before the row was read: the earlier process may have sent
// it just before its end.
TEST_F(WorkerSessionTest, AsksAgainIfThePollWasSentBeforeTheRowWasRead)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    const DueCall early = due(SessionCall::Kind::Poll);
    nameLaterStart();
    WorkerReply reply = answerOf(5200);
    reply.running = { { runOf(0), "", 10 } };
    m_session.handleReply(early.context, reply, m_now);
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    const DueCall asking = due(SessionCall::Kind::Poll);
    EXPECT_EQ(asking.call.leaseUntil, 0);
    reply = answerOf(50);
    reply.processStartMs = processStartMs + 1;
    EXPECT_EQ(m_session.handleReply(asking.context, reply, m_now).ended.size(), 1U);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Guards against a task that is started again after it was done: a late poll acknowledges an end of the earlier process
// to a new one, which counts its ends anew and forgets one that nobody has heard of.
TEST_F(WorkerSessionTest, GivesANewProcessNoWorkWhileALateAcknowledgementMayArrive)
{
    settle();
    endARunDurably();
    const DueCall lost = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(lost.call.command).acknowledgedEnd, 1);
    m_session.handleReply(lost.context, noAnswer(), m_now);
    const absl::Time sentAt = m_now;
    m_now += absl::Seconds(1);
    WorkerReply reply = answerOf(50);
    reply.processStartMs = processStartMs + 1;
    m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    nameLaterStart();
    EXPECT_FALSE(m_session.acceptsWork(sentAt + longestDelay - absl::Milliseconds(1)));
    EXPECT_TRUE(m_session.acceptsWork(sentAt + longestDelay));
}

// Guards against a lease beyond the bound: the clock of a new process starts anew.
TEST_F(WorkerSessionTest, GrantsANewProcessNoLeaseOnTheClockOfTheOldOne)
{
    settle();
    nameLaterStart();
    EXPECT_EQ(due(SessionCall::Kind::Poll).call.leaseUntil, 0);
}

TEST_F(WorkerSessionTest, AcknowledgesEndsOnlyInOrderAndOnceTheyAreDurable)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(startCall, answerOf(5100), m_now);
    m_now += absl::Milliseconds(10);
    const DueCall poll = due(SessionCall::Kind::Poll);
    WorkerReply reply = answerOf(5200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" }, { 2, runOf(1), RunEnd::Done, "" } };
    EXPECT_EQ(m_session.handleReply(poll.context, reply, m_now).ended.size(), 2U);
    m_session.markEndDurable(2);
    m_now += absl::Seconds(1);
    const DueCall early = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(early.call.command).acknowledgedEnd, 0);
    EXPECT_TRUE(m_session.handleReply(early.context, reply, m_now).ended.empty());
    m_session.markEndDurable(1);
    m_now += absl::Seconds(1);
    const DueCall late = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(late.call.command).acknowledgedEnd, 2);
}

// Guards against a lease on the clock of an earlier process: its reply to a start names no process and comes late.
TEST_F(WorkerSessionTest, TakesNoClockFromALateReplyOfAnEarlierProcess)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5100), m_now);
    nameLaterStart();
    WorkerReply late;
    late.clock = 900000;
    m_session.handleReply(startCall, late, m_now);
    EXPECT_EQ(due(SessionCall::Kind::Poll).call.leaseUntil, 0);
}

// Guards against a second run of a task: the start was confirmed by the new process, whose reply names no process,
// before the owner knew of that process.
TEST_F(WorkerSessionTest, KeepsARunThatOnlyTheNewProcessMayHaveStarted)
{
    settle();
    confirmAStartBeforeARestart(50);
    WorkerReply list;
    list.clock = 60;
    list.processStartMs = processStartMs + 1;
    list.running = { { runOf(0), "", 1 } };
    EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now).ended.empty());
    EXPECT_TRUE(m_session.runs().contains(runOf(0)));
}

// The earlier process had started the run, but no poll had listed it before the restart.
TEST_F(WorkerSessionTest, EndsARunThatTheNewProcessDoesNotList)
{
    settle();
    confirmAStartBeforeARestart(5110);
    WorkerReply list;
    list.clock = 60;
    list.processStartMs = processStartMs + 1;
    const std::vector<EndedRun> ended = m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now).ended;
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().end, RunEnd::LeaseLapsed);
}

// Guards against a task that is started again after it was done: a new process that the owner does not know of yet
// counts its ends anew, and forgot an end that nobody had heard of for the repeated acknowledgement of one of the
// earlier process.
TEST_F(WorkerSessionTest, RepeatsAnAcknowledgementOnlyOnceTheFirstCannotBeExecuted)
{
    settle();
    endARunDurably();
    const DueCall lost = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(lost.call.command).acknowledgedEnd, 1);
    m_session.handleReply(lost.context, noAnswer(), m_now);
    for (int tries = 0; tries < 3; ++tries) {
        m_now += absl::Seconds(1);
        const DueCall asking = due(SessionCall::Kind::Poll);
        EXPECT_EQ(std::get<PollRuns>(asking.call.command).acknowledgedEnd, 0);
        m_session.handleReply(asking.context, noAnswer(), m_now);
    }
    // The last call without a reply, which is later than the acknowledgement.
    const absl::Time lostAt = m_now;
    // The worker lists the end again, which is durable already: the first acknowledgement may still be executed.
    WorkerReply reply = answerOf(9200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    while (m_now < lostAt + longestDelay - absl::Seconds(1)) {
        m_now += absl::Seconds(1);
        const DueCall asking = due(SessionCall::Kind::Poll);
        EXPECT_EQ(std::get<PollRuns>(asking.call.command).acknowledgedEnd, 0);
        reply.clock = 5000 + absl::ToInt64Milliseconds(m_now - start);
        EXPECT_TRUE(m_session.handleReply(asking.context, reply, m_now).ended.empty());
    }
    m_now += absl::Seconds(1);
    const DueCall repeated = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(repeated.call.command).acknowledgedEnd, 1);
    m_session.handleReply(repeated.context, answerOf(reply.clock + 1000), m_now);
    startRun(runOf(1));
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 0);
}

// Guards against a task that is started again after it was done: the worker is restarted before the listed end of its
// earlier process is durable, and its new process takes a start. Only the clock in the reply shows the new process.
TEST_F(WorkerSessionTest, AcknowledgesNothingAfterAReplyWithTheClockOfAnotherProcess)
{
    settle();
    listAnEnd();
    WorkerReply confirmed;
    confirmed.clock = 50;
    m_session.handleReply(startRun(runOf(1)), confirmed, m_now);
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    m_session.markEndDurable(1);
    m_now += absl::Seconds(1);
    const DueCall asking = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(asking.call.command).acknowledgedEnd, 0);
    EXPECT_EQ(std::get<PollRuns>(asking.call.command).wait, absl::ZeroDuration());
    EXPECT_EQ(asking.call.leaseUntil, 0);
    WorkerReply list;
    list.clock = 1050;
    list.processStartMs = processStartMs + 1;
    list.ended = { { 1, runOf(1), RunEnd::Done, "" } };
    const std::vector<EndedRun> ended = m_session.handleReply(asking.context, list, m_now).ended;
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().run, runOf(1));
    EXPECT_EQ(ended.front().end, RunEnd::Done);
}

// Guards against a task that is started again after it was done: an acknowledgement that is sent together with a start
// is executed late, by the new process that has run and ended the task meanwhile.
TEST_F(WorkerSessionTest, AcknowledgesNothingBesideAStartThatHasNoReply)
{
    constexpr absl::Duration longestWait = absl::Milliseconds(100);
    settle();
    endARunDurably();
    const SessionCall startCall = startRun(runOf(1));
    EXPECT_FALSE(isDue(SessionCall::Kind::Poll));
    // A reply that is late holds up the poll no longer.
    m_now += longestWait;
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 0);
    m_session.handleReply(startCall, answerOf(6300), m_now);
    m_session.handleReply({ SessionCall::Kind::Poll, RunKey(), m_now, processStartMs }, answerOf(6300), m_now);
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 1);
}

// Load: starts follow each other on a worker that replies to them late. Guards against ends that nobody hears of since
// no poll is sent meanwhile, and against polls without a pause, since each lists the end that is not acknowledged yet.
TEST_F(WorkerSessionTest, PollsNowAndThenWhileStartsAreWithoutReply)
{
    constexpr absl::Duration pause = absl::Milliseconds(100);
    settle();
    endARunDurably();
    startRun(runOf(1));
    m_now += pause / 2;
    startRun(runOf(2));
    EXPECT_FALSE(isDue(SessionCall::Kind::Poll));
    m_now += pause / 2;
    const DueCall first = due(SessionCall::Kind::Poll);
    // The worker has no accelerator left.
    startRun(runOf(3), { 100, 100, 0 });
    WorkerReply reply = answerOf(6300);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    m_session.handleReply(first.context, reply, m_now);
    EXPECT_FALSE(isDue(SessionCall::Kind::Poll));
    m_now += pause;
    EXPECT_TRUE(isDue(SessionCall::Kind::Poll));
}

// A worker that was frozen has a clock that lags behind; it keeps its runs and takes work again once it was asked.
TEST_F(WorkerSessionTest, KeepsRunsOfAWorkerWhoseClockHasStoodStill)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_now += absl::Seconds(3);
    WorkerReply confirmed;
    confirmed.clock = 5200;
    m_session.handleReply(startRun(runOf(1)), confirmed, m_now);
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_now += absl::Seconds(1);
    WorkerReply list = answerOf(6200);
    list.running = { { runOf(0), "", 10 }, { runOf(1), "", 1 } };
    EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now).ended.empty());
    EXPECT_EQ(m_session.runs().size(), 2U);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Replies on different connections may overtake each other, so a clock that differs little shows no other process.
TEST_F(WorkerSessionTest, TakesAReplyThatWasOvertakenForOneOfTheSameProcess)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_now += absl::Milliseconds(200);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5200), m_now);
    WorkerReply overtaken;
    overtaken.clock = 5010;
    m_session.handleReply(startCall, overtaken, m_now);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

} // namespace
} // namespace mangohall::batch
