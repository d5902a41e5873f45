// Workers that are silent, leave, or whose address is unknown: when their runs are over, and when they are forgotten.
#include "batch/worker_session_fixture_base.h"

namespace mangohall::batch {
namespace {

// Guards against calls to a worker that only the progress of an earlier owner names: the HTTP client looked up a host
// name for them, and held up the calls to the store until an owner had lost its lease.
TEST_F(WorkerSessionTest, CallsNoWorkerWhoseAddressIsUnknown)
{
    WorkerEntry unlisted = makeWorkerEntry("w");
    unlisted.address.clear();
    WorkerSession session(unlisted, 1, SessionSettings());
    session.markUnlisted();
    session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, true, m_now);
    session.adopt(runOf(1), { 100, 100, 4 }, { processStartMs, 0 }, true, m_now);
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
    session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, true, m_now);
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

// Guards against LOST: jobs waited for the end of the longest lease after their workers had crashed behind a cut.
TEST(WorkerSessionLease, LastsLittleLongerThanAShortSilence)
{
    constexpr absl::Duration shortSilence = absl::Seconds(5);
    constexpr absl::Duration longestPause = absl::Seconds(2);
    constexpr absl::Duration margin = absl::Milliseconds(500);
    absl::Time now = start;
    WorkerSession session(makeWorkerEntry("w"), 1, SessionSettings());
    session.handleReply(session.takeDueCalls(now).front().context, answerOf(5000), now);
    session.reserve(runOf(0), { 100, 100, 4 }, now);
    session.release(runOf(0), now);
    const std::vector<DueCall> calls = session.takeDueCalls(now);
    ASSERT_EQ(calls.size(), 2U);
    for (const DueCall& call : calls)
        EXPECT_EQ(call.call.leaseUntil, 5000 + absl::ToInt64Milliseconds(shortSilence + longestPause));
    session.handleReply(calls[0].context, answerOf(5000), now);
    session.handleReply(calls[1].context, noAnswer(), now);
    EXPECT_TRUE(session.takeLapsedRuns(now + shortSilence + longestPause).empty());
    EXPECT_EQ(session.takeLapsedRuns(now + shortSilence + longestPause + margin).size(), 1U);
}

// A worker may grant less than the owner would ask for.
TEST(WorkerSessionLease, IsNoLongerThanTheWorkerGrants)
{
    SessionSettings settings;
    settings.maxLease = absl::Seconds(6);
    WorkerSession session(makeWorkerEntry("w"), 1, settings);
    session.handleReply(session.takeDueCalls(start).front().context, answerOf(5000), start);
    session.reserve(runOf(0), { 100, 100, 4 }, start);
    session.release(runOf(0), start);
    EXPECT_EQ(session.takeDueCalls(start).front().call.leaseUntil, 11000);
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
    // The poll renews the lease, and the next process under the worker's name may still execute it.
    const absl::Time leaseEnd = m_now + longestDelay + SessionSettings().longestLease();
    EXPECT_FALSE(m_session.isRemovable(leaseEnd - absl::Milliseconds(1)));
    EXPECT_TRUE(m_session.isRemovable(leaseEnd));
}

// Guards against a second run of a task: the lease end was reckoned from an old time of a clock that has gone slower
// since.
TEST_F(WorkerSessionTest, WaitsLongerForALeaseThatWasReckonedFromAnOldClock)
{
    settle();
    m_now += absl::Seconds(40);
    const SessionCall startCall = startRun(runOf(0));
    const absl::Time grantedAt = m_now;
    m_session.handleReply(startCall, answerOf(45100), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    // The end on a clock that is 2% slow.
    m_now = grantedAt + (SessionSettings().maxLease + absl::Milliseconds(800)) / 0.98;
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now += absl::Seconds(1);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
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

// A run of the worker's next process, while a renewal to the one before got no reply.
class LateRenewal : public WorkerSessionTest {
protected:
    static constexpr std::int64_t nextProcessStartMs = processStartMs + 1;

    // Returns until when the renewal may be executed.
    absl::Time startAtTheNextProcess()
    {
        settle();
        m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
        m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
        const absl::Time until = m_now + longestDelay;
        m_now += absl::Milliseconds(500);
        answerPoll(listOfNextProcess(50));
        nameLaterStart();
        WorkerReply confirmed;
        confirmed.clock = 51;
        m_session.handleReply(startRun(runOf(1)), confirmed, m_now);
        return until;
    }

    static WorkerReply listOfNextProcess(WorkerMillis clock)
    {
        WorkerReply reply = answerOf(clock);
        reply.processStartMs = nextProcessStartMs;
        return reply;
    }

    // The worker is silent from now on; returns when its runs count as lapsed.
    absl::Time lapseOfASilentWorker()
    {
        m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
        while (m_session.takeLapsedRuns(m_now).empty()) {
            takeCalls();
            for (const DueCall& call : std::exchange(m_pending, {}))
                m_session.handleReply(call.context, noAnswer(), m_now);
            m_now = std::max(m_now + absl::Milliseconds(1), m_session.nextDue());
        }
        return m_now;
    }
};

// Guards against TWICE: the next process takes the deadline of the late renewal for the longest lease, and its run goes
// on while the task is started elsewhere.
TEST_F(LateRenewal, KeepsTheRunOfTheNextProcessUntilTheLeaseItMayGrantIsOver)
{
    const absl::Time until = startAtTheNextProcess();
    EXPECT_GT(lapseOfASilentWorker(), until + SessionSettings().maxLease);
}

// Guards against TWICE: the next process has executed a start that was sent to the one before, with the longest lease
// from then on. Its reply names no process, and comes after the process is known.
TEST_F(LateRenewal, CountsTheLeaseOfAStartThatTheNextProcessHasReplied)
{
    WorkerSession session(makeWorkerEntry("w"), 1, SessionSettings());
    session.handleReply(session.takeDueCalls(m_now).front().context, answerOf(5000), m_now);
    session.reserve(runOf(0), { 100, 100, 4 }, m_now);
    session.release(runOf(0), m_now);
    const std::vector<DueCall> calls = session.takeDueCalls(m_now);
    ASSERT_EQ(calls.size(), 2U);
    m_now += absl::Milliseconds(700);
    session.handleReply(calls[1].context, listOfNextProcess(50), m_now);
    m_now += absl::Milliseconds(700);
    WorkerReply confirmed;
    confirmed.clock = 750;
    session.handleReply(calls[0].context, confirmed, m_now);
    session.handleReply(session.takeDueCalls(m_now).back().context, noAnswer(), m_now);
    EXPECT_TRUE(session.takeLapsedRuns(m_now + SessionSettings().maxLease).empty());
    EXPECT_EQ(session.takeLapsedRuns(m_now + SessionSettings().maxLease + absl::Seconds(1)).size(), 1U);
}

// Guards against TWICE: a session that was made anew knew nothing of the renewal.
TEST_F(LateRenewal, KeepsTheSessionOfAnUnlistedWorkerWhileTheRenewalMayCome)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    const absl::Time until = m_now + longestDelay;
    m_now += absl::Seconds(1);
    m_session.markUnlisted();
    ASSERT_EQ(answerPoll(listOfNextProcess(50)).ended.size(), 1U);
    ASSERT_TRUE(m_session.runs().empty());
    const absl::Time leaseEnd = until + SessionSettings().longestLease();
    EXPECT_FALSE(m_session.isRemovable(leaseEnd - absl::Milliseconds(1)));
    EXPECT_LE(m_session.nextDue(), leaseEnd);
    EXPECT_TRUE(m_session.isRemovable(leaseEnd));
}

// Guards against TWICE: the next process has executed a start, which gave it the longest lease. A session that was made
// anew reckoned with the shorter one that the owner asks for.
TEST_F(LateRenewal, KeepsTheSessionOfAnUnlistedWorkerWhileALeaseOfAnExecutedStartLasts)
{
    settle();
    const SessionCall call = startRun(runOf(0));
    answerPoll(listOfNextProcess(50));
    WorkerReply refused;
    refused.clock = 51;
    refused.refusal = WorkerRefusal::InsufficientCapacity;
    m_session.handleReply(call, refused, m_now);
    ASSERT_TRUE(m_session.runs().empty());
    m_session.markUnlisted();
    EXPECT_FALSE(m_session.isRemovable(m_now + SessionSettings().maxLease));
}

// Guards against a session that is due without end: it is not removed while it withholds room, and nothing else of it
// is due.
TEST_F(LateRenewal, KeepsTheSessionOfAnUnlistedWorkerWhileItWithholdsRoom)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_now += absl::Seconds(1);
    m_session.markUnlisted();
    ASSERT_EQ(answerPoll(listOfNextProcess(50)).ended.size(), 1U);
    m_session.withholdRoom(runOf(1), { 100, 100, 4 });
    EXPECT_EQ(m_session.freeCapacity().accelerators, 4);
    EXPECT_EQ(m_session.freeCapacityAfterStops().accelerators, 8);
    m_now += absl::Seconds(60);
    EXPECT_FALSE(m_session.isRemovable(m_now));
    EXPECT_GT(m_session.nextDue(), m_now);
    m_session.releaseRoom(runOf(1));
    EXPECT_TRUE(m_session.isRemovable(m_now));
}

// Usual work does not wait: a renewal that got no reply keeps its deadline at the process that it was meant for.
TEST_F(LateRenewal, EndsTheRunsOfTheCalledProcessWithTheLastLease)
{
    settle();
    m_session.handleReply(startRun(runOf(0)), answerOf(5100), m_now);
    const absl::Time renewedAt = m_now;
    EXPECT_LT(lapseOfASilentWorker(), renewedAt + SessionSettings().maxLease + absl::Seconds(1));
}

// Guards against LOST: the poll that would settle a start gets no reply, and its renewal moves the end of the run once
// more, for a start that cannot come any more.
TEST_F(LateRenewal, ThePollThatSettlesAStartDoesNotMoveItsEnd)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    while (m_now < until - absl::Milliseconds(300)) {
        if (isDue(SessionCall::Kind::Start))
            m_session.handleReply(due(SessionCall::Kind::Start).context, noAnswer(), m_now);
        m_now += absl::Milliseconds(100);
        if (isDue(SessionCall::Kind::Stop))
            m_session.handleReply(due(SessionCall::Kind::Stop).context, noAnswer(), m_now);
        if (isDue(SessionCall::Kind::Poll))
            m_session.handleReply(
                due(SessionCall::Kind::Poll).context, answerOf(5000 + absl::ToInt64Milliseconds(m_now - start)), m_now);
    }
    const absl::Time settledAt = m_session.startsMayComeUntil(runOf(0));
    ASSERT_GT(settledAt, m_now);
    while (m_now < settledAt) {
        m_now += absl::Milliseconds(100);
        if (m_now < settledAt && isDue(SessionCall::Kind::Poll))
            m_session.handleReply(
                due(SessionCall::Kind::Poll).context, answerOf(5000 + absl::ToInt64Milliseconds(m_now - start)), m_now);
    }
    EXPECT_LE(lapseOfASilentWorker(), settledAt + SessionSettings().longestLease() + absl::Seconds(1));
}

// Guards against LOST: a worker is cut off from the owner only, and its rows show that its process has outlived the
// start. The run is over with the lease of that process, without one for a later process on top.
TEST_F(LateRenewal, RowsOfASilentWorkerEndAStartThatCannotComeAnyMore)
{
    settle();
    const absl::Time until = leaveStartWithoutReply();
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    m_now = until;
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_session.update(makeWorkerEntry("w"), m_now, m_now);
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now += absl::Milliseconds(1500);
    m_session.update(makeWorkerEntry("w"), m_now, m_now);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
}

// Guards against TWICE after a change of owner: the worker's process has just started, and the former owner may have
// sent a renewal to the one before.
TEST_F(LateRenewal, KeepsAnAdoptedRunOfAYoungProcessUntilTheLeaseItMayGrantIsOver)
{
    const std::int64_t young = absl::ToUnixMillis(m_now - absl::Seconds(2));
    WorkerSession session(makeWorkerEntry("w"), 1, SessionSettings(), m_now);
    session.adopt(runOf(0), { 100, 100, 4 }, { young, 0 }, true, m_now);
    session.handleReply(session.takeDueCalls(m_now).front().context, noAnswer(), m_now);
    constexpr absl::Duration longestPoll = absl::Seconds(3);
    const absl::Time longestEnd = m_now + longestPoll + longestDelay + SessionSettings().maxLease;
    EXPECT_TRUE(session.takeLapsedRuns(longestEnd).empty());
    EXPECT_EQ(session.takeLapsedRuns(longestEnd + absl::Seconds(1)).size(), 1U);
}

// Usual work does not wait: the former owner has written that it had sent nothing to an earlier process, nor had one
// before it.
TEST_F(LateRenewal, EndsAnAdoptedRunOfAYoungProcessWithTheLastLeaseIfNothingElseCanCome)
{
    const std::int64_t young = absl::ToUnixMillis(m_now - absl::Seconds(2));
    const std::int64_t longPast = absl::ToUnixMillis(m_now - absl::Seconds(20));
    WorkerSession session(makeWorkerEntry("w"), 1, SessionSettings(), m_now);
    session.adopt(runOf(0), { 100, 100, 4 }, { young, longPast }, true, m_now);
    session.handleReply(session.takeDueCalls(m_now).front().context, noAnswer(), m_now);
    EXPECT_TRUE(session.takeLapsedRuns(m_now + SessionSettings().maxLease).empty());
    EXPECT_EQ(session.takeLapsedRuns(m_now + SessionSettings().maxLease + absl::Seconds(1)).size(), 1U);
}

// The record of a task tells the next owner until when a command to an earlier process may come to this one.
TEST_F(LateRenewal, DescribesUntilWhenCommandsToAnEarlierProcessMayCome)
{
    // Nothing was sent to a process before the first one.
    EXPECT_EQ(m_session.describeProcess(processStartMs).earlierCommandsUntilMs, 1);
    const absl::Time until = startAtTheNextProcess();
    const WorkerProcess process = m_session.describeProcess(nextProcessStartMs);
    EXPECT_EQ(process.startMs, nextProcessStartMs);
    EXPECT_GE(absl::FromUnixMillis(process.earlierCommandsUntilMs), until);
}

// A session with one unanswered start on a worker that has become silent.
class RecordedLapseTest : public WorkerSessionTest {
protected:
    RecordedLapseTest()
    {
        settle();
        const SessionCall call = startRun(runOf(0));
        EXPECT_TRUE(m_session.lapsesToRecord().empty());
        m_now += absl::Milliseconds(800);
        failStarts(call);
        failPoll();
    }

    void failPoll()
    {
        if (isDue(SessionCall::Kind::Poll))
            m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    }

    // Records the only lapse, as its owner does.
    absl::Time recordLapse()
    {
        const auto lapses = m_session.lapsesToRecord();
        if (lapses.size() != 1)
            return absl::InfiniteFuture();
        m_session.markLapseRecorded(lapses.front().first, lapses.front().second);
        return lapses.front().second;
    }
};

TEST_F(RecordedLapseTest, IsWhenTheRunEndsForThisOwner)
{
    const absl::Time lapsesAt = recordLapse();
    ASSERT_NE(lapsesAt, absl::InfiniteFuture());
    EXPECT_TRUE(m_session.lapsesToRecord().empty());
    m_now = lapsesAt - absl::Milliseconds(1);
    failPoll();
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now = lapsesAt;
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
}

// Guards against a second run of a task: the next owner relies on the record, so a lease that is granted beside it
// would keep the run going after its recorded end.
TEST_F(RecordedLapseTest, KeepsAWorkerThatRepliesAgainFromRenewalsAndStarts)
{
    recordLapse();
    m_now += absl::Milliseconds(600);
    ASSERT_TRUE(answerPoll(answerOf(6500)).isFound);
    for (int poll = 0; poll < 5; ++poll) {
        m_now += absl::Milliseconds(300);
        EXPECT_FALSE(isDue(SessionCall::Kind::Start));
        const DueCall call = due(SessionCall::Kind::Poll);
        EXPECT_EQ(call.call.leaseUntil, 0);
        EXPECT_EQ(std::get<PollRuns>(call.call.command).wait, absl::ZeroDuration());
        m_session.handleReply(call.context, answerOf(6500 + 300 * (poll + 1)), m_now);
    }
    m_session.markLapseWithdrawn(runOf(0));
    m_now += absl::Milliseconds(300);
    EXPECT_TRUE(isDue(SessionCall::Kind::Start));
    EXPECT_NE(due(SessionCall::Kind::Poll).call.leaseUntil, 0);
}

// Guards against a gang that is placed on a worker which gets no start, and waits there while others have room.
TEST_F(RecordedLapseTest, AcceptsNoWorkWhileItGetsNoStart)
{
    recordLapse();
    m_now += absl::Milliseconds(600);
    ASSERT_TRUE(answerPoll(answerOf(6500)).isFound);
    EXPECT_FALSE(m_session.acceptsWork(m_now));
    m_session.markLapseWithdrawn(runOf(0));
    EXPECT_TRUE(m_session.acceptsWork(m_now));
}

// Guards against a second run of a task: a withdrawal that is written late would pass for that of a later record.
TEST_F(RecordedLapseTest, IsWithdrawnOnceForEachRecord)
{
    recordLapse();
    EXPECT_EQ(m_session.takeLapsesToWithdraw().size(), 1U);
    EXPECT_TRUE(m_session.takeLapsesToWithdraw().empty());
    m_now += absl::Milliseconds(600);
    failPoll();
    EXPECT_TRUE(m_session.lapsesToRecord().empty());
    m_session.markLapseWithdrawn(runOf(0));
    EXPECT_EQ(m_session.lapsesToRecord().size(), 1U);
    recordLapse();
    EXPECT_EQ(m_session.takeLapsesToWithdraw().size(), 1U);
}

// Guards against a wait that a change of owner begins anew.
TEST_F(WorkerSessionTest, EndsAnAdoptedRunOnASilentWorkerAtItsRecordedLapse)
{
    settle();
    const absl::Time recorded = m_now + absl::Seconds(2);
    m_session.adopt(runOf(0), { 100, 100, 4 }, { processStartMs, 0 }, false, m_now, absl::ToUnixMillis(recorded));
    m_now += absl::Milliseconds(300);
    m_session.handleReply(due(SessionCall::Kind::Poll).context, noAnswer(), m_now);
    // The clocks of the two owners may differ by 5 s.
    m_now = recorded + absl::Seconds(5) - absl::Milliseconds(1);
    EXPECT_TRUE(m_session.takeLapsedRuns(m_now).empty());
    m_now = recorded + absl::Seconds(5);
    EXPECT_EQ(m_session.takeLapsedRuns(m_now).size(), 1U);
}

} // namespace
} // namespace mangohall::batch
