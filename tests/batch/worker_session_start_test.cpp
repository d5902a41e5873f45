// Starts whose outcome is unknown, which any later process of the worker may still execute.
#include "batch/worker_session_fixture_base.h"

namespace mangohall::batch {
namespace {

constexpr std::int64_t nextProcessStartMs = processStartMs + 1;

// A list of the worker's next process.
WorkerReply listOfNextProcess()
{
    WorkerReply reply = answerOf(50);
    reply.processStartMs = nextProcessStartMs;
    return reply;
}

// Guards against a second run of a task: the worker's next process may execute a start without a reply, although the
// earlier one has confirmed a stop and lists no such run.
TEST_F(WorkerSessionTest, KeepsARunWhoseStartGotNoReplyUntilNoProcessCanExecuteIt)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    EXPECT_TRUE(answerPoll(answerOf(5100)).ended.empty());
    m_session.stop(runOf(0), m_now);
    EXPECT_EQ(m_session.handleReply(due(SessionCall::Kind::Stop).context, answerOf(5200), m_now).barredStart, runOf(0));
    m_now += absl::Milliseconds(1);
    EXPECT_TRUE(answerPoll(answerOf(5300)).ended.empty());
    EXPECT_TRUE(answerPoll(listOfNextProcess()).ended.empty());
    // The new process has not confirmed a stop.
    m_now += absl::Milliseconds(250);
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
    m_now = until - absl::Milliseconds(1);
    // A poll that was sent before decides nothing.
    EXPECT_TRUE(answerPoll(listOfNextProcess()).ended.empty());
    const SessionUpdate update = answerPoll(listOfNextProcess());
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().end, RunEnd::NotStarted);
    EXPECT_EQ(update.ended.front().evidence, EndEvidence::AbsentFromPoll);
}

// A start without a reply is repeated on the worker that it was sent to, so that a gang need not wait for one member.
TEST_F(WorkerSessionTest, RepeatsAStartOnceAPollDoesNotShowTheRun)
{
    settle();
    leaveStartWithoutReply();
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
    answerPoll(answerOf(5100));
    m_now += absl::Milliseconds(250);
    const DueCall repeated = due(SessionCall::Kind::Start);
    EXPECT_TRUE(repeated.context.isRepeated);
    EXPECT_EQ(std::get<StartRun>(repeated.call.command).run, runOf(0));
    m_session.handleReply(repeated.context, answerOf(5400), m_now);
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
}

// Guards against a start on a process that may have other room and labels.
TEST_F(WorkerSessionTest, RepeatsNoStartAtAnotherProcess)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    answerPoll(listOfNextProcess());
    nameLaterStart();
    while (m_now < until) {
        EXPECT_FALSE(isDue(SessionCall::Kind::Start));
        m_now += absl::Milliseconds(250);
    }
}

// Guards against a second run of a task: the refusal of a repeated start does not prove that the first one, which got
// no reply, is not executed.
TEST_F(WorkerSessionTest, KeepsARunWhoseRepeatedStartIsRefused)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    for (const WorkerRefusal refusal :
        { WorkerRefusal::Unhealthy, WorkerRefusal::InsufficientCapacity, WorkerRefusal::AlreadyEnded }) {
        answerPoll(answerOf(5000 + absl::ToInt64Milliseconds(m_now - start)));
        m_now += absl::Seconds(1);
        WorkerReply refused = answerOf(5000 + absl::ToInt64Milliseconds(m_now - start));
        refused.refusal = refusal;
        const SessionCall repeated = due(SessionCall::Kind::Start).context;
        EXPECT_TRUE(m_session.handleReply(repeated, refused, m_now).ended.empty());
    }
    m_session.stop(runOf(0), m_now);
    m_now = until - absl::Milliseconds(1);
    EXPECT_TRUE(answerPoll(answerOf(17499)).ended.empty());
    EXPECT_EQ(answerPoll(answerOf(17500)).ended.size(), 1U);
}

// Guards against a second run of a task: the process that has confirmed the first sending ends, and the next one
// executes the second sending, whose reply names no process.
TEST_F(WorkerSessionTest, KeepsARunWhoseRepetitionTheNextProcessMayHaveExecuted)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    m_now += absl::Milliseconds(250);
    const SessionCall second = due(SessionCall::Kind::Start).context;
    m_session.handleReply(first, answerOf(5250), m_now);
    WorkerReply ofUnknownProcess;
    ofUnknownProcess.clock = 77;
    m_session.handleReply(second, ofUnknownProcess, m_now);
    WorkerReply list = answerOf(5250);
    list.ended = { { 1, runOf(0), RunEnd::Failed, "" } };
    EXPECT_TRUE(answerPoll(list).ended.empty());
    m_now += absl::Milliseconds(250);
    list = listOfNextProcess();
    list.running = { { runOf(0), "", 10 } };
    EXPECT_TRUE(answerPoll(list).ended.empty());
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
}

// Guards against a doubt without a cause: replies that come late show an unexpected clock, and a later poll shows that
// the same process has sent them.
TEST_F(WorkerSessionTest, SettlesSlowRepliesOfTheSameProcessWithALaterPoll)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    m_now += absl::Milliseconds(250);
    const SessionCall second = due(SessionCall::Kind::Start).context;
    m_now += absl::Milliseconds(520);
    WorkerReply slow;
    slow.clock = 5000;
    m_session.handleReply(first, slow, m_now);
    m_session.handleReply(second, slow, m_now);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
    // The pending poll was sent before the replies arrived.
    WorkerReply list = answerOf(5770);
    list.running = { { runOf(0), "", 5 } };
    answerPoll(list);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
    m_now += absl::Milliseconds(1);
    list.clock = 5772;
    answerPoll(list);
    EXPECT_FALSE(m_session.mayStillStart(runOf(0)));
}

// Guards against a second run of a task: of two sendings without a reply one was executed, and the other one may come
// for longer.
TEST_F(WorkerSessionTest, KeepsTheLatestOfTwoSendingsOfWhichOneWasExecuted)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    m_now += absl::Milliseconds(250);
    const SessionCall second = due(SessionCall::Kind::Start).context;
    m_session.handleReply(second, noAnswer(ErrorKind::PeerGone), m_now);
    m_now += absl::Milliseconds(300);
    m_session.handleReply(first, noAnswer(), m_now);
    const absl::Time latest = m_now + longestDelay;
    WorkerReply list = answerOf(5550);
    list.running = { { runOf(0), "", 0 } };
    answerPoll(list);
    answerPoll(list);
    EXPECT_EQ(m_session.startsMayComeUntil(runOf(0)), latest);
}

// Guards against a second run of a task that was done: the next process would forget its end for a late acknowledgement
// to the earlier one. The reply to a stop does not show what became of the acknowledgement.
TEST_F(WorkerSessionTest, SendsNoStartBesideAnAcknowledgementWithoutAReply)
{
    settle();
    m_session.handleReply(startRun(runOf(5)), answerOf(5050), m_now);
    listAnEnd();
    m_session.markEndDurable(1);
    m_now += absl::Seconds(1);
    const DueCall acknowledgement = due(SessionCall::Kind::Poll);
    ASSERT_EQ(acknowledgement.context.acknowledgedEnd, 1);
    m_session.reserve(runOf(1), { 100, 100, 4 }, m_now);
    m_session.release(runOf(1), m_now);
    ASSERT_FALSE(isDue(SessionCall::Kind::Start));
    m_session.stop(runOf(5), m_now);
    WorkerReply stopped;
    stopped.clock = 6200;
    m_session.handleReply(due(SessionCall::Kind::Stop).context, stopped, m_now);
    m_now += absl::Milliseconds(800);
    m_session.handleReply(acknowledgement.context, noAnswer(), m_now);
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
}

// Guards against a job that waits longer than the doubt lasts: the poll before was held open past its end.
TEST_F(WorkerSessionTest, AsksForAListOnceAStartCannotBeExecutedAnyMore)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    m_session.stop(runOf(0), m_now);
    m_session.handleReply(due(SessionCall::Kind::Stop).context, answerOf(5100), m_now);
    while (m_now < until) {
        const DueCall poll = due(SessionCall::Kind::Poll);
        const absl::Duration wait = std::get<PollRuns>(poll.call.command).wait;
        EXPECT_LE(m_now + wait, until);
        m_now += std::max(wait, absl::Milliseconds(1));
        m_session.handleReply(poll.context, answerOf(5000 + absl::ToInt64Milliseconds(m_now - start)), m_now);
    }
    const DueCall poll = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(poll.call.command).wait, absl::ZeroDuration());
    const WorkerReply list = answerOf(5000 + absl::ToInt64Milliseconds(m_now - start));
    EXPECT_EQ(m_session.handleReply(poll.context, list, m_now).ended.size(), 1U);
}

// Lets the run of a repeated start end in this way; the first start got no reply. Returns until when it may be
// executed.
class RepeatedStart : public WorkerSessionTest {
protected:
    absl::Time endRun(RunEnd end)
    {
        settle();
        const absl::Time until = leaveStartWithoutReply();
        answerPoll(answerOf(5100));
        m_now += absl::Milliseconds(250);
        m_session.handleReply(due(SessionCall::Kind::Start).context, answerOf(5400), m_now);
        m_now += absl::Seconds(1);
        m_list = answerOf(6400);
        m_list.ended = { { 1, runOf(0), end, "" } };
        m_update = answerPoll(m_list);
        return until;
    }

    // Answers a poll with the same list.
    SessionUpdate answerAgain()
    {
        m_list.clock = 5000 + absl::ToInt64Milliseconds(m_now - start);
        return answerPoll(m_list);
    }

    WorkerReply m_list;
    SessionUpdate m_update;
};

// Callers hear at once that a task is done. Guards against a second run after that: the worker's next process executes
// the first start if the end was acknowledged.
TEST_F(RepeatedStart, ReturnsADoneRunAtOnceAndAcknowledgesItLater)
{
    const absl::Time until = endRun(RunEnd::Done);
    ASSERT_EQ(m_update.ended.size(), 1U);
    m_session.markEndDurable(1);
    while (m_now < until) {
        const DueCall poll = due(SessionCall::Kind::Poll);
        EXPECT_EQ(std::get<PollRuns>(poll.call.command).acknowledgedEnd, 0);
        m_list.clock = 5000 + absl::ToInt64Milliseconds(m_now - start);
        EXPECT_TRUE(m_session.handleReply(poll.context, m_list, m_now).ended.empty());
        EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
        m_now += absl::Milliseconds(250);
    }
    EXPECT_EQ(answerAgain().ended.size(), 1U);
    EXPECT_EQ(m_session.freeCapacity().accelerators, 8);
    m_now += absl::Seconds(1);
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 1);
}

// Guards against BUDGET and TWICE: the task is started elsewhere while the worker may still start it.
TEST_F(RepeatedStart, ReturnsAFailedRunOnceNoStartCanBeExecuted)
{
    const absl::Time until = endRun(RunEnd::Failed);
    EXPECT_TRUE(m_update.ended.empty());
    m_now = until - absl::Milliseconds(1);
    EXPECT_TRUE(answerAgain().ended.empty());
    m_now += absl::Milliseconds(600);
    const SessionUpdate update = answerAgain();
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().end, RunEnd::Failed);
    EXPECT_EQ(update.ended.front().number, 1);
}

// The next process executes the first start: the run goes on there, and nothing else can start it.
TEST_F(RepeatedStart, GoesOnWithAFailedRunThatTheNextProcessHasStarted)
{
    endRun(RunEnd::Failed);
    WorkerReply list = listOfNextProcess();
    list.running = { { runOf(0), "", 1 } };
    m_now += absl::Milliseconds(250);
    EXPECT_TRUE(answerPoll(list).ended.empty());
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
    EXPECT_FALSE(m_session.mayStillStart(runOf(0)));
}

// What was done is barred at the next process.
TEST_F(RepeatedStart, BarsADoneRunAtTheNextProcess)
{
    endRun(RunEnd::Done);
    m_now += absl::Milliseconds(250);
    EXPECT_TRUE(answerPoll(listOfNextProcess()).ended.empty());
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
}

// Guards against running work that is given up: the response to its start was lost, and a poll lists the run.
TEST_F(WorkerSessionTest, GoesOnWithARunThatShowsAfterItsStartGotNoReply)
{
    settle();
    leaveStartWithoutReply();
    EXPECT_TRUE(answerPoll(answerOf(5100)).ended.empty());
    WorkerReply list = answerOf(5200);
    list.running = { { runOf(0), "", 10 } };
    EXPECT_TRUE(answerPoll(list).ended.empty());
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
    EXPECT_FALSE(m_session.mayStillStart(runOf(0)));
    m_now += absl::Seconds(1);
    EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
}

// The next process executes the start before anything else reaches it.
TEST_F(WorkerSessionTest, GoesOnWithARunThatTheNextProcessHasStarted)
{
    settle();
    leaveStartWithoutReply();
    WorkerReply list = listOfNextProcess();
    list.running = { { runOf(0), "", 1 } };
    EXPECT_TRUE(answerPoll(list).ended.empty());
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
    EXPECT_EQ(m_session.runs().at(runOf(0)).processStartMs, nextProcessStartMs);
}

// Usual work does not wait: a run that was shown cannot start again, so it ends with the process that has shown it.
TEST_F(WorkerSessionTest, EndsARunThatWasShownWithItsProcess)
{
    settle();
    leaveStartWithoutReply();
    WorkerReply list = answerOf(5200);
    list.running = { { runOf(0), "", 10 } };
    answerPoll(list);
    const SessionUpdate update = answerPoll(listOfNextProcess());
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().evidence, EndEvidence::ProcessReplaced);
}

// Guards against a worker over its capacity: the room of a run that may still start is not given to another.
TEST_F(WorkerSessionTest, KeepsTheRoomOfARunThatMayStillStart)
{
    settle();
    leaveStartWithoutReply();
    m_session.stop(runOf(0), m_now);
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
    EXPECT_EQ(m_session.freeCapacityAfterStops().accelerators, 4);
    answerPoll(listOfNextProcess());
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
}

// Guards against a second run of a task after a change of owner: the earlier owner's start may still be on its way, and
// the worker's next process has seen no epoch.
TEST_F(WorkerSessionTest, KeepsAnAdoptedRunUntilNoProcessCanExecuteItsStart)
{
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs - 1, 0 }, false, m_now);
    const absl::Time until = m_now + commandCallTimeout + longestDelay;
    EXPECT_TRUE(answerPoll(answerOf(5000)).ended.empty());
    m_now = until - absl::Milliseconds(1);
    EXPECT_TRUE(answerPoll(answerOf(18300)).ended.empty());
    EXPECT_EQ(answerPoll(answerOf(18301)).ended.size(), 1U);
}

// Usual work does not wait: a start that the earlier owner may not have sent is repeated on its worker.
TEST_F(WorkerSessionTest, RepeatsTheStartOfAnAdoptedRunThatNoListShows)
{
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, false, m_now);
    answerPoll(answerOf(5000));
    m_now += absl::Milliseconds(250);
    m_session.handleReply(due(SessionCall::Kind::Start).context, answerOf(5250), m_now);
    EXPECT_EQ(m_session.runs().at(runOf(0)).stage, RunSlot::Stage::Running);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
}

// Guards against a second run of a task: the earlier owner may have repeated the start, so a list that shows the run
// does not show that no other start is on its way.
TEST_F(WorkerSessionTest, AcknowledgesNoEndOfAnAdoptedRunWhileItsStartsAreUnknown)
{
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, false, m_now);
    const absl::Time until = m_now + commandCallTimeout + longestDelay;
    WorkerReply list = answerOf(5000);
    list.running = { { runOf(0), "", 50 } };
    answerPoll(list);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
    m_now += absl::Seconds(1);
    list = answerOf(6000);
    list.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    EXPECT_EQ(answerPoll(list).ended.size(), 1U);
    m_session.markEndDurable(1);
    m_now = until - absl::Milliseconds(1);
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 0);
}

// Guards against a second run after one that was done, when the owner changes in between: the acknowledgement waits.
TEST_F(WorkerSessionTest, KeepsAnAdoptedDoneRunUntilNoProcessCanExecuteItsStart)
{
    m_session.adoptDone(runOf(0), { 100, 100, 4 }, m_now);
    const absl::Time until = m_now + commandCallTimeout + longestDelay;
    WorkerReply list = answerOf(5000);
    list.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    const absl::Time polledAt = m_now;
    m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now);
    m_session.markEndDurable(1);
    while (m_now < until) {
        m_now += absl::Milliseconds(700);
        if (!isDue(SessionCall::Kind::Poll))
            continue;
        const DueCall poll = due(SessionCall::Kind::Poll);
        EXPECT_EQ(std::get<PollRuns>(poll.call.command).acknowledgedEnd, 0) << m_now - polledAt;
        list.clock = 5000 + absl::ToInt64Milliseconds(m_now - start);
        m_session.handleReply(poll.context, list, m_now);
    }
}

// Guards against a wait without a bound: a worker that replies to polls and to no start would get the start for ever,
// and each repetition may be executed for another 12.5 s.
TEST_F(WorkerSessionTest, GivesUpAStartThatTheWorkerDoesNotConfirm)
{
    settle();
    const absl::Time begun = m_now;
    SessionCall call = startRun(runOf(0));
    absl::Time lastFailure = m_now;
    while (m_now - begun < absl::Seconds(12)) {
        m_now += absl::Milliseconds(800);
        lastFailure = m_now;
        failStarts(call);
        answerPoll(answerOf(5000 + absl::ToInt64Milliseconds(m_now - begun)));
        m_now += absl::Milliseconds(250);
        if (!isDue(SessionCall::Kind::Start))
            break;
        call = due(SessionCall::Kind::Start).context;
    }
    EXPECT_LT(m_now - begun, absl::Seconds(10));
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
    m_now = lastFailure + longestDelay;
    // The pending poll was sent when the start might still be executed.
    EXPECT_TRUE(answerPoll(answerOf(5000 + absl::ToInt64Milliseconds(m_now - begun))).ended.empty());
    EXPECT_EQ(answerPoll(answerOf(5000 + absl::ToInt64Milliseconds(m_now - begun))).ended.size(), 1U);
    EXPECT_TRUE(m_session.runs().empty());
}

// Usual work does not wait: the earlier owner has recorded that the run had started.
TEST_F(WorkerSessionTest, EndsAnAdoptedRunThatHadStartedWithTheFirstListWithoutIt)
{
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, true, m_now);
    const SessionUpdate update = answerPoll(answerOf(5000));
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().end, RunEnd::LeaseLapsed);
}

TEST_F(WorkerSessionTest, EndsAnAdoptedRunThatHadStartedWithTheLeaseOfASilentWorker)
{
    constexpr absl::Duration longestLease = absl::Seconds(10);
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, true, m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now + longestLease).empty());
    EXPECT_EQ(m_session.takeLapsedRuns(m_now + longestLease + absl::Seconds(1)).size(), 1U);
}

// Usual work does not wait: what has shown that the start was not executed ends the run at once.
TEST_F(WorkerSessionTest, EndsARunAtOnceWhoseStartWasNotExecuted)
{
    settle();
    WorkerReply refusal = answerOf(5100);
    refusal.refusal = WorkerRefusal::Unhealthy;
    WorkerReply misdirected = answerOf(5100);
    misdirected.refusal = WorkerRefusal::OtherProcess;
    WorkerReply unsent = noAnswer();
    unsent.status = markNotSent(unsent.status);
    for (const WorkerReply& reply : { refusal, misdirected, unsent, noAnswer(ErrorKind::OwnerUnreachable) }) {
        const SessionUpdate update = m_session.handleReply(startRun(runOf(0)), reply, m_now);
        ASSERT_EQ(update.ended.size(), 1U);
        EXPECT_EQ(update.ended.front().end, RunEnd::NotStarted);
        EXPECT_TRUE(m_session.runs().empty());
        m_now += absl::Seconds(1);
        answerPoll(answerOf(6000));
        m_now += absl::Seconds(1);
    }
}

// The outcome of a start holds whichever process has replied, although the reply comes after another process is known.
TEST_F(WorkerSessionTest, TakesTheOutcomeOfAStartFromALateReplyOfAnEarlierProcess)
{
    settle();
    const SessionCall call = startRun(runOf(0));
    answerPoll(listOfNextProcess());
    WorkerReply refusal;
    refusal.clock = 5200;
    refusal.refusal = WorkerRefusal::InsufficientCapacity;
    ASSERT_EQ(m_session.handleReply(call, refusal, m_now).ended.size(), 1U);
    EXPECT_TRUE(m_session.runs().empty());
}

// Guards against a second run of a task: a silent worker's lease is over, but its start may still be executed and be
// granted a lease of its own.
TEST_F(WorkerSessionTest, KeepsARunThatMayStillStartBeyondTheLeaseOfASilentWorker)
{
    constexpr absl::Duration longestLease = absl::Seconds(10);
    settle();
    m_session.handleReply(startRun(runOf(1)), answerOf(5100), m_now);
    const absl::Time until = leaveStartWithoutReply();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_session.markUnlisted();
    m_now = start + absl::Seconds(11);
    const std::vector<EndedRun> lapsed = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(lapsed.size(), 1U);
    EXPECT_EQ(lapsed.front().run, runOf(1));
    EXPECT_FALSE(m_session.isRemovable(m_now));
    m_now = until + longestLease;
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    const DueCall pending = due(SessionCall::Kind::Poll);
    EXPECT_GT(m_session.nextDue(), m_now);
    m_now = m_session.nextDue();
    EXPECT_LE(m_now, until + longestLease + absl::Seconds(1));
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
    m_session.handleReply(pending.context, noAnswer(), m_now);
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

// A drained worker that is gone may come back under its name, and execute the start then.
TEST_F(WorkerSessionTest, KeepsARunThatMayStillStartWhenADrainedWorkerIsGone)
{
    drainWithARun();
    m_session.adopt(runOf(1), { 100, 100, 4 }, { processStartMs, 0 }, false, m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    const std::vector<EndedRun> ended = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().run, runOf(0));
    EXPECT_TRUE(m_session.runs().contains(runOf(1)));
}

// Guards against a job that waits for a lease on a worker that has left: no process is there once the start cannot come
// any more.
TEST_F(WorkerSessionTest, EndsARunInDoubtOnceADrainedWorkerIsGoneAndNoStartMayCome)
{
    drainWithARun();
    m_session.adopt(runOf(1), { 100, 100, 4 }, { processStartMs, 0 }, false, m_now);
    const absl::Time until = m_now + commandCallTimeout + longestDelay;
    while (m_now < until) {
        m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
        m_session.takeLapsedRuns(m_now);
        EXPECT_TRUE(m_session.runs().contains(runOf(1)));
        m_now += absl::Milliseconds(500);
    }
    // The refusal of a poll that was sent before shows nothing.
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    const std::vector<EndedRun> ended = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().run, runOf(1));
    EXPECT_EQ(ended.front().evidence, EndEvidence::WorkerLeft);
}

// Guards against a task that begins on a worker long after it was known to drain.
TEST_F(WorkerSessionTest, BarsAStartWithoutAReplyOnADrainingWorker)
{
    settle();
    const SessionCall call = startRun(runOf(0));
    WorkerEntry draining = makeWorkerEntry("w");
    draining.isDraining = true;
    m_session.update(draining, m_now, m_now);
    m_now += absl::Milliseconds(800);
    m_session.handleReply(call, noAnswer(), m_now);
    const absl::Time until = m_now + longestDelay;
    EXPECT_EQ(m_session.handleReply(due(SessionCall::Kind::Stop).context, answerOf(7000), m_now).barredStart, runOf(0));
    m_now = until - absl::Milliseconds(2);
    EXPECT_TRUE(answerPoll(answerOf(17500)).ended.empty());
    m_now = until;
    EXPECT_EQ(answerPoll(answerOf(17501)).ended.size(), 1U);
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
}

// Guards against a start on a worker that has other room or labels than its row says: the row is of an earlier process.
TEST_F(WorkerSessionTest, TakesNoWorkBeforeARowOfItsProcessWasRead)
{
    settle();
    m_session.handleReply(startRun(runOf(1)), answerOf(5100), m_now);
    m_session.reserve(runOf(0), { 100, 100, 4 }, m_now);
    const SessionUpdate update = answerPoll(listOfNextProcess());
    ASSERT_EQ(update.ended.size(), 2U);
    EXPECT_EQ(update.ended.front().run, runOf(0));
    EXPECT_EQ(update.ended.front().evidence, EndEvidence::NeverSent);
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    WorkerEntry smaller = makeWorkerEntry("w");
    smaller.processStartMs = nextProcessStartMs;
    smaller.capacity = { 1000, 1000, 4 };
    m_session.update(smaller, m_now, m_now);
    EXPECT_TRUE(m_session.acceptsWork(m_now));
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
    // A row of the earlier process comes late.
    m_session.update(makeWorkerEntry("w"), m_now, m_now);
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
}

// What was placed and not sent need not wait until a silent worker replies again.
TEST_F(WorkerSessionTest, DropsAnUnsentRunWhenACallFails)
{
    settle();
    m_session.setMayStart(false);
    m_session.reserve(runOf(0), { 100, 100, 4 }, m_now);
    m_session.release(runOf(0), m_now);
    const SessionUpdate update = m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().evidence, EndEvidence::NeverSent);
}

// Guards against a task that is started again after it was done: the worker's next process executes the start, ends the
// run, and forgets the end for a late acknowledgement of an end of the earlier process.
TEST_F(WorkerSessionTest, AcknowledgesNothingWhileTheOutcomeOfAStartIsUnknown)
{
    settle();
    endARunDurably();
    const absl::Time until = leaveStartWithoutReply(runOf(1));
    m_session.stop(runOf(1), m_now);
    WorkerReply list = answerOf(6300);
    list.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    while (m_now < until) {
        const DueCall poll = due(SessionCall::Kind::Poll);
        EXPECT_EQ(std::get<PollRuns>(poll.call.command).acknowledgedEnd, 0);
        m_session.handleReply(poll.context, list, m_now);
        m_now += absl::Milliseconds(250);
    }
    EXPECT_EQ(answerPoll(list).ended.size(), 1U);
    m_now += absl::Seconds(1);
    EXPECT_EQ(std::get<PollRuns>(due(SessionCall::Kind::Poll).call.command).acknowledgedEnd, 1);
}

// The same in the other order: the acknowledgement goes first.
TEST_F(WorkerSessionTest, StartsNothingWhileAnAcknowledgementMayStillBeExecuted)
{
    settle();
    endARunDurably();
    const DueCall acknowledging = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(acknowledging.call.command).acknowledgedEnd, 1);
    EXPECT_EQ(std::get<PollRuns>(acknowledging.call.command).wait, absl::ZeroDuration());
    m_session.reserve(runOf(1), { 100, 100, 4 }, m_now);
    m_session.release(runOf(1), m_now);
    EXPECT_FALSE(isDue(SessionCall::Kind::Start));
    EXPECT_EQ(m_session.handleReply(acknowledging.context, noAnswer(), m_now).ended.size(), 1U);
    const absl::Time until = m_now + longestDelay;
    WorkerReply list = answerOf(6300);
    list.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    m_now += absl::Seconds(1);
    answerPoll(list);
    EXPECT_FALSE(m_session.acceptsWork(until - absl::Milliseconds(1)));
    EXPECT_TRUE(m_session.acceptsWork(until));
}

// The worker lists the end no more, so the acknowledgement was executed.
TEST_F(WorkerSessionTest, TakesWorkAgainOnceALateAcknowledgementWasExecuted)
{
    settle();
    endARunDurably();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_now += absl::Seconds(1);
    answerPoll(answerOf(7300));
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Guards against a run that stays bound without end: each repetition of a start that its worker has barred may get no
// reply.
TEST_F(WorkerSessionTest, DoesNotRepeatAStartThatTheWorkerHasBarred)
{
    settle();
    leaveStartWithoutReply();
    answerPoll(answerOf(5200));
    m_now += absl::Seconds(1);
    const SessionCall repeated = due(SessionCall::Kind::Start).context;
    WorkerReply barred = answerOf(6200);
    barred.refusal = WorkerRefusal::AlreadyEnded;
    m_session.handleReply(repeated, barred, m_now);
    EXPECT_TRUE(m_session.mayStillStart(runOf(0)));
    for (int second = 0; second < 5; ++second) {
        m_now += absl::Seconds(1);
        EXPECT_FALSE(isDue(SessionCall::Kind::Start));
        EXPECT_FALSE(isDue(SessionCall::Kind::Stop));
    }
}

// Guards against a load of stops that reach a worker together at the end of a cut.
TEST_F(WorkerSessionTest, RepeatsStopsToASilentWorkerEverMoreRarely)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_session.stop(runOf(0), m_now);
    int stops = 0;
    for (const absl::Time end = m_now + absl::Seconds(6); m_now < end; m_now += absl::Milliseconds(50)) {
        takeCalls();
        for (const DueCall& call : std::exchange(m_pending, {})) {
            stops += call.context.kind == SessionCall::Kind::Stop ? 1 : 0;
            m_session.handleReply(call.context, noAnswer(), m_now);
        }
    }
    EXPECT_LE(stops, 6);
    // A worker that replies again gets the stop at once.
    m_now += absl::Seconds(1);
    WorkerReply list = answerOf(12200);
    list.running = { { runOf(0), "", 10 } };
    m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now);
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
}

// Guards against starts that get no reply in time since a worker gets too many at once.
TEST_F(WorkerSessionTest, SendsOnlySoManyStartsAtOnce)
{
    constexpr int runs = 100;
    settle();
    for (int index = 0; index < runs; ++index) {
        m_session.reserve(runOf(index), { 1, 1, 0 }, m_now);
        m_session.release(runOf(index), m_now);
    }
    std::vector<SessionCall> pending;
    int sent = 0;
    while (sent < runs) {
        takeCalls();
        for (const DueCall& call : m_pending) {
            if (call.context.kind == SessionCall::Kind::Start)
                pending.push_back(call.context);
        }
        sent += static_cast<int>(m_pending.size());
        m_pending.clear();
        ASSERT_FALSE(pending.empty());
        EXPECT_LE(pending.size(), 32U);
        // Nothing is due before the next reply.
        EXPECT_GT(m_session.nextDue(), m_now);
        m_session.handleReply(pending.back(), answerOf(5100), m_now);
        pending.pop_back();
    }
}

} // namespace
} // namespace mangohall::batch
