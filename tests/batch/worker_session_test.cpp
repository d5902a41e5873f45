#include "batch/worker/worker_session_base.h"

#include <algorithm>

#include "batch/worker_entry_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
constexpr std::int64_t processStartMs = 1000;

RunKey runOf(int index, int attempt = 1)
{
    return { { JobId("0000000000000001"), { 0, 0, index } }, attempt };
}

WorkerReply answerOf(WorkerMillis clock)
{
    WorkerReply reply;
    reply.clock = clock;
    reply.processStartMs = processStartMs;
    return reply;
}

WorkerReply noAnswer(ErrorKind kind = ErrorKind::TimedOut)
{
    WorkerReply reply;
    reply.status = makeError(kind, "nothing came");
    return reply;
}

class WorkerSessionTest : public testing::Test {
protected:
    WorkerSessionTest()
        : m_session(makeWorkerEntry("w"), 1, SessionSettings())
    {
    }

    // The oldest pending call of the kind; fails the test if there is none.
    DueCall due(SessionCall::Kind kind)
    {
        takeCalls();
        for (auto call = m_pending.begin(); call != m_pending.end(); ++call) {
            if (call->context.kind != kind)
                continue;
            DueCall found = *call;
            m_pending.erase(call);
            return found;
        }
        ADD_FAILURE() << "no such call is due";
        return {};
    }

    // Makes the worker draining, with one run, and removes its row some time after it has reported that.
    void drainWithARun(absl::Duration removedAfter = absl::Seconds(3))
    {
        settle();
        const SessionCall startCall = startRun(runOf(0));
        m_session.handleReply(startCall, answerOf(5100), m_now);
        WorkerEntry draining = makeWorkerEntry("w");
        draining.isDraining = true;
        m_session.update(draining, m_now, m_now);
        EXPECT_FALSE(m_session.acceptsWork(m_now));
        m_now += removedAfter;
        m_session.markRemoved(m_now);
    }

    bool isDue(SessionCall::Kind kind)
    {
        takeCalls();
        return std::any_of(
            m_pending.begin(), m_pending.end(), [kind](const DueCall& call) { return call.context.kind == kind; });
    }

    void takeCalls()
    {
        const std::vector<DueCall> calls = m_session.takeDueCalls(m_now);
        m_pending.insert(m_pending.end(), calls.begin(), calls.end());
    }

    void settle()
    {
        const DueCall poll = due(SessionCall::Kind::Poll);
        m_session.handleReply(poll.context, answerOf(5000), m_now);
        ASSERT_TRUE(m_session.acceptsWork(m_now));
    }

    // Starts a run, which the worker lists as its end 1.
    void listAnEnd()
    {
        m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
        WorkerReply reply = answerOf(5200);
        reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
        m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    }

    // As above, and the end is durable a second later.
    void endARunDurably()
    {
        listAnEnd();
        m_session.markEndDurable(1);
        m_now += absl::Seconds(1);
    }

    // Starts a run; the start gets no reply, and its repetition is refused while a poll is pending.
    void refuseRepeatedStart(WorkerRefusal reason)
    {
        const SessionCall first = startRun(runOf(0));
        m_now += absl::Milliseconds(800);
        m_session.handleReply(first, noAnswer(), m_now);
        m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5800), m_now);
        WorkerReply refusal = answerOf(5900);
        refusal.refusal = reason;
        EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Start).context, refusal, m_now).ended.empty());
        // The reply to a poll that was sent before the refusal decides nothing.
        EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5900), m_now).ended.empty());
    }

    // Applies a row that names a later start of the worker's process.
    void nameLaterStart()
    {
        WorkerEntry restarted = makeWorkerEntry("w");
        restarted.processStartMs = processStartMs + 1;
        m_session.update(restarted, m_now, m_now);
    }

    SessionCall startRun(const RunKey& run)
    {
        m_session.reserve(run, { 100, 100, 4 }, m_now);
        m_session.release(run, m_now);
        return due(SessionCall::Kind::Start).context;
    }

    absl::Time m_now = start;
    WorkerSession m_session;
    // Calls that were sent and have not been answered.
    std::vector<DueCall> m_pending;
};

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

// Guards against calls to a worker that only the progress of an earlier owner names: the HTTP client looked up a host
// name for them, and held up the calls to the store until an owner had lost its lease.
TEST_F(WorkerSessionTest, CallsNoWorkerWhoseAddressIsUnknown)
{
    WorkerEntry unlisted = makeWorkerEntry("w");
    unlisted.address.clear();
    WorkerSession session(unlisted, 1, SessionSettings());
    session.markUnlisted();
    session.adopt(runOf(0), { 100, 100, 4 }, m_now);
    session.adopt(runOf(1), { 100, 100, 4 }, m_now);
    session.stop(runOf(1), m_now);
    EXPECT_TRUE(session.takeDueCalls(m_now).empty());
    const absl::Time lapse = session.nextDue();
    EXPECT_GT(lapse, m_now + SessionSettings().maxLease);
    EXPECT_TRUE(session.takeLapsedRuns(lapse - absl::Milliseconds(1)).empty());
    EXPECT_TRUE(session.takeDueCalls(lapse - absl::Milliseconds(1)).empty());
    EXPECT_EQ(session.takeLapsedRuns(lapse).size(), 2U);
}

TEST_F(WorkerSessionTest, CallsAWorkerAsSoonAsItsAddressIsKnown)
{
    WorkerEntry unlisted = makeWorkerEntry("w");
    unlisted.address.clear();
    WorkerSession session(unlisted, 1, SessionSettings());
    session.markUnlisted();
    session.adopt(runOf(0), { 100, 100, 4 }, m_now);
    session.update(makeWorkerEntry("w"), m_now, m_now);
    const std::vector<DueCall> calls = session.takeDueCalls(m_now);
    ASSERT_EQ(calls.size(), 1U);
    EXPECT_EQ(calls.front().context.kind, SessionCall::Kind::Poll);
    EXPECT_EQ(calls.front().call.address, "w");
}

// Guards against a lease that never ends: renewals may reach a worker whose replies are lost, so they have to cease.
TEST_F(WorkerSessionTest, LetsTheLeaseOfASilentWorkerLapse)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(startCall, answerOf(5100), m_now);
    const absl::Time lastRenewal = m_now;
    while (m_now < lastRenewal + absl::Seconds(9)) {
        takeCalls();
        m_now += absl::Milliseconds(100);
        for (const DueCall& call : std::exchange(m_pending, {}))
            m_session.handleReply(call.context, noAnswer(), m_now);
        EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    }
    m_now = lastRenewal + absl::Seconds(12);
    const std::vector<EndedRun> lapsed = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(lapsed.size(), 1U);
    EXPECT_EQ(lapsed.front().evidence, EndEvidence::LeaseExpired);
}

TEST_F(WorkerSessionTest, LosesRunsOfADrainedWorkerThatIsGoneAtOnce)
{
    drainWithARun();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    const std::vector<EndedRun> lost = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(lost.size(), 1U);
    EXPECT_EQ(lost.front().evidence, EndEvidence::WorkerLeft);
}

// Guards against a second run of a task: the row of a draining worker that can't reach the store expires, and a link
// that is cut may refuse connections, while the worker runs on.
TEST_F(WorkerSessionTest, KeepsRunsOfADrainingWorkerWhoseRowMayHaveExpired)
{
    const absl::Time lastRenewal = m_now;
    drainWithARun(SessionSettings().entryTimeout);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    m_now = lastRenewal + SessionSettings().maxLease;
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now += absl::Seconds(1);
    const std::vector<EndedRun> lapsed = m_session.takeLapsedRuns(m_now);
    ASSERT_EQ(lapsed.size(), 1U);
    EXPECT_EQ(lapsed.front().evidence, EndEvidence::LeaseExpired);
}

// Guards against taking a worker for gone because another writer has overwritten its row.
TEST_F(WorkerSessionTest, KeepsRunsOfADrainingWorkerWhoseRowIsUnreadable)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    WorkerEntry draining = makeWorkerEntry("w");
    draining.isDraining = true;
    m_session.update(draining, m_now, m_now);
    m_session.markUnlisted();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
}

// The poll was pending when the worker's process ended.
TEST_F(WorkerSessionTest, LosesRunsOfADrainedWorkerThatIsGoneDuringAPoll)
{
    drainWithARun();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(ErrorKind::PeerGone), m_now);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
}

// Guards against a second start of a task that is done: a leaving worker accepts no new connections, but it still
// replies to the pending poll and lists the end.
TEST_F(WorkerSessionTest, WaitsForThePendingPollBeforeADrainedWorkerCountsAsGone)
{
    drainWithARun();
    const DueCall poll = due(SessionCall::Kind::Poll);
    m_session.stop(runOf(0), m_now);
    m_session.handleReply(due(SessionCall::Kind::Stop).context, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    EXPECT_FALSE(m_session.isRemovable(m_now));
    WorkerReply reply = answerOf(5200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    const SessionUpdate update = m_session.handleReply(poll.context, reply, m_now);
    ASSERT_EQ(update.ended.size(), 1U);
    EXPECT_EQ(update.ended.front().end, RunEnd::Done);
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

TEST_F(WorkerSessionTest, IsNotRemovableWhileAPollIsPending)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    const DueCall poll = due(SessionCall::Kind::Poll);
    // The reply to another call shows another process first, so the run counts as lost.
    m_session.stop(runOf(0), m_now);
    WorkerReply reply = answerOf(50);
    reply.processStartMs = processStartMs + 1;
    EXPECT_EQ(m_session.handleReply(due(SessionCall::Kind::Stop).context, reply, m_now).ended.size(), 1U);
    m_session.markUnlisted();
    EXPECT_FALSE(m_session.isRemovable(m_now));
    m_session.handleReply(poll.context, noAnswer(ErrorKind::PeerGone), m_now);
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

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
    constexpr absl::Duration longestDelay = absl::Seconds(14);
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

// Guards against a second run of a task: the lease end was reckoned from an old time of a clock that has gone slower
// since, and the worker may have executed the start late.
TEST_F(WorkerSessionTest, WaitsLongerForALeaseThatWasReckonedFromAnOldClock)
{
    settle();
    m_now += absl::Seconds(40);
    const SessionCall startCall = startRun(runOf(0));
    const absl::Time grantedAt = m_now;
    m_session.handleReply(startCall, noAnswer(), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    // The end on a clock that is 2% slow.
    m_now = grantedAt + (SessionSettings().maxLease + absl::Milliseconds(800)) / 0.98;
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now += absl::Seconds(1);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
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

// Guards against a task that is started again after it was done: its worker exits with its last run, while the owner
// waits for the end of another run to become durable and has no poll there.
TEST_F(WorkerSessionTest, PollsADrainingWorkerBeforeItsListedEndsAreDurable)
{
    constexpr absl::Duration longestGap = absl::Milliseconds(50);
    settle();
    for (const int index : { 0, 1 })
        m_session.handleReply(startRun(runOf(index)), answerOf(5100), m_now);
    WorkerEntry draining = makeWorkerEntry("w");
    draining.isDraining = true;
    m_session.update(draining, m_now, m_now);
    WorkerReply reply = answerOf(5200);
    reply.running = { { runOf(1), "", 90 } };
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now);
    m_now += longestGap;
    EXPECT_TRUE(isDue(SessionCall::Kind::Poll));
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
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5100), m_now);
    WorkerReply confirmed;
    confirmed.clock = 50;
    m_session.handleReply(startCall, confirmed, m_now);
    nameLaterStart();
    EXPECT_TRUE(m_session.runs().contains(runOf(0)));
    m_now += absl::Milliseconds(1);
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
    const SessionCall startCall = startRun(runOf(0));
    m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5100), m_now);
    WorkerReply confirmed;
    confirmed.clock = 5110;
    m_session.handleReply(startCall, confirmed, m_now);
    nameLaterStart();
    EXPECT_TRUE(m_session.runs().contains(runOf(0)));
    m_now += absl::Milliseconds(1);
    WorkerReply list;
    list.clock = 60;
    list.processStartMs = processStartMs + 1;
    const std::vector<EndedRun> ended = m_session.handleReply(due(SessionCall::Kind::Poll).context, list, m_now).ended;
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().end, RunEnd::LeaseLapsed);
}

// Guards against a second run of a task: a start that got no reply is executed by a later process of a worker whose
// session was deleted meanwhile, so that nothing bars the run there.
TEST_F(WorkerSessionTest, IsNotRemovableWhileAStartMayBeExecuted)
{
    settle();
    const SessionCall startCall = startRun(runOf(0));
    const absl::Time sentAt = m_now;
    m_session.handleReply(startCall, noAnswer(), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_session.markUnlisted();
    m_now = sentAt + absl::Seconds(11);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
    EXPECT_FALSE(m_session.isRemovable(m_now));
    EXPECT_GT(m_session.nextDue(), m_now);
    m_now = m_session.nextDue();
    EXPECT_LE(m_now, sentAt + absl::Seconds(15));
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

// Guards against a task that is started again after it was done: a new process that the owner does not know of yet
// counts its ends anew, and forgot an end that nobody had heard of for the repeated acknowledgement of one of the
// earlier process.
TEST_F(WorkerSessionTest, RepeatsAnAcknowledgementOnlyAfterAReply)
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
    m_now += absl::Seconds(1);
    // The worker lists the end again, which is durable already.
    WorkerReply reply = answerOf(9200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    EXPECT_TRUE(m_session.handleReply(due(SessionCall::Kind::Poll).context, reply, m_now).ended.empty());
    m_now += absl::Seconds(1);
    const DueCall repeated = due(SessionCall::Kind::Poll);
    EXPECT_EQ(std::get<PollRuns>(repeated.call.command).acknowledgedEnd, 1);
    m_session.handleReply(repeated.context, answerOf(10200), m_now);
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
