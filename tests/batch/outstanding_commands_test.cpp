// The commands to a worker that may still be executed, and for how long each of them matters.
#include "batch/worker/outstanding_commands_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr absl::Duration longestDelay = absl::Milliseconds(12500);
// The longest call of an earlier owner, and its longest call of a start.
constexpr absl::Duration longestPoll = absl::Seconds(3);
constexpr absl::Duration startCall = absl::Milliseconds(800);
constexpr absl::Duration longestLease = absl::Seconds(10);
// Starts of two processes, long before the tests begin.
constexpr std::int64_t firstProcess = 1000;
constexpr std::int64_t nextProcess = 2000;
const absl::Time begin = absl::FromUnixSeconds(1700000000);
const RunKey run { { JobId("0000000000000001"), { 0, 0, 0 } }, 1 };
const RunKey otherRun { { JobId("0000000000000001"), { 0, 0, 1 } }, 1 };

class OutstandingCommandsTest : public testing::Test {
protected:
    SessionCall send(SessionCall::Kind kind, bool renewsLease = true, std::int64_t acknowledgedEnd = 0)
    {
        SessionCall call;
        call.kind = kind;
        call.run = kind == SessionCall::Kind::Poll ? RunKey() : run;
        call.sentAt = m_now;
        call.processStartMs = firstProcess;
        call.renewsLease = renewsLease;
        call.acknowledgedEnd = acknowledgedEnd;
        m_commands.recordSent(call);
        return call;
    }

    absl::Time m_now = begin;
    OutstandingCommands m_commands { absl::InfinitePast(), longestLease };
};

// Guards against TWICE: a renewal that was sent to one process gives the next one a lease from its execution on.
TEST_F(OutstandingCommandsTest, ExtendsTheLeaseOfALaterProcessByAnUnansweredRenewal)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Poll), m_now);
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, nextProcess), m_now + longestDelay + longestLease);
    // The process may be any.
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, 0), m_now + longestDelay + longestLease);
    m_commands.expire(m_now + longestDelay + longestLease - absl::Milliseconds(1));
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, nextProcess), m_now + longestDelay + longestLease);
}

// Usual work does not wait: the deadline of a renewal holds at the process that it was meant for.
TEST_F(OutstandingCommandsTest, ExtendsNoLeaseOfTheProcessThatWasCalled)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Poll), m_now);
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    EXPECT_EQ(m_commands.foreignLeaseEnd(otherRun, firstProcess), absl::InfinitePast());
}

// Guards against TWICE: a start carries a lease for everything on the worker, also if it is refused there, or if a list
// has shown that it was executed.
TEST_F(OutstandingCommandsTest, ExtendsTheLeaseOfOtherRunsByAnUnansweredStart)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    EXPECT_EQ(m_commands.foreignLeaseEnd(otherRun, nextProcess), m_now + longestDelay + longestLease);
    m_commands.settleStarts(run);
    EXPECT_EQ(m_commands.foreignLeaseEnd(otherRun, nextProcess), m_now + longestDelay + longestLease);
}

TEST_F(OutstandingCommandsTest, CountsALeaseThatAnotherProcessWasGrantedFromItsReplyOn)
{
    const SessionCall call = send(SessionCall::Kind::Poll);
    m_now += absl::Milliseconds(500);
    m_commands.recordReply(call, nextProcess, m_now);
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, nextProcess), m_now + longestLease);
    const SessionCall answered = send(SessionCall::Kind::Poll);
    m_commands.recordReply(answered, firstProcess, m_now + absl::Seconds(1));
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, nextProcess), m_now + longestLease);
}

// A pending call is no reason to conclude anything either.
TEST_F(OutstandingCommandsTest, CountsAPendingRenewal)
{
    send(SessionCall::Kind::Poll);
    EXPECT_GE(m_commands.foreignLeaseEnd(run, nextProcess), m_now + longestDelay + longestLease);
}

TEST_F(OutstandingCommandsTest, ForgetsACommandThatReachedNoWorker)
{
    EXPECT_TRUE(m_commands.recordNotExecuted(send(SessionCall::Kind::Start)));
    EXPECT_FALSE(m_commands.mayStart(run));
    EXPECT_EQ(m_commands.foreignLeaseEnd(otherRun, nextProcess), absl::InfinitePast());
    EXPECT_EQ(m_commands.lastEffectAt(), absl::InfinitePast());
}

// Guards against TWICE after a change of owner: what the former owner sent is unknown.
TEST_F(OutstandingCommandsTest, CountsWhatEarlierOwnersMayHaveSentToAnEarlierProcess)
{
    const OutstandingCommands commands(begin, longestLease);
    const std::int64_t young = absl::ToUnixMillis(begin - absl::Seconds(1));
    EXPECT_EQ(commands.foreignLeaseEnd(run, young), begin + longestPoll + longestDelay + longestLease);
    EXPECT_EQ(commands.foreignLeaseEnd(run, 0), begin + longestPoll + longestDelay + longestLease);
}

// Usual work does not wait: nothing that was sent to an earlier process can come any more to one that has been up for
// longer than the longest delay.
TEST_F(OutstandingCommandsTest, CountsNothingOfEarlierOwnersForAnOldProcess)
{
    const OutstandingCommands commands(begin, longestLease);
    constexpr absl::Duration longUp = absl::Seconds(40);
    const std::int64_t old = absl::ToUnixMillis(begin - longUp);
    EXPECT_LE(commands.foreignLeaseEnd(run, old), begin + longestLease);
}

TEST_F(OutstandingCommandsTest, TakesWhatAnEarlierOwnerHasWrittenOfAProcess)
{
    OutstandingCommands commands(begin, longestLease);
    const std::int64_t young = absl::ToUnixMillis(begin - absl::Seconds(1));
    commands.recordEarlierCommandsUntil(young, begin - absl::Seconds(30));
    EXPECT_LT(commands.foreignLeaseEnd(run, young), begin);
    // It says nothing of any other process.
    EXPECT_EQ(commands.foreignLeaseEnd(run, young + 1), begin + longestPoll + longestDelay + longestLease);
    EXPECT_EQ(commands.foreignLeaseEnd(run, 0), begin + longestPoll + longestDelay + longestLease);
}

// Usual work does not wait: a process that is still there when a start cannot come any more is the only one that may
// have executed it, with the lease that was meant for it.
TEST_F(OutstandingCommandsTest, BindsAStartToAProcessThatHasOutlivedIt)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    m_commands.recordNoReply(send(SessionCall::Kind::Poll), m_now);
    m_commands.recordAlive(firstProcess, m_now + longestDelay - absl::Milliseconds(1));
    m_commands.recordAlive(nextProcess, m_now + longestDelay);
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, firstProcess), m_now + longestDelay + longestLease);
    m_commands.recordAlive(firstProcess, m_now + longestDelay);
    EXPECT_TRUE(m_commands.mayStart(run));
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, firstProcess), absl::InfinitePast());
    // A later sending may come to a later process.
    m_now += longestDelay;
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, firstProcess), m_now + longestDelay + longestLease);
}

// Usual work does not wait: a process that has executed a poll of this owner has seen its epoch, and refuses what
// earlier owners have sent. What it has executed before keeps its lease.
TEST_F(OutstandingCommandsTest, CountsNothingOfEarlierOwnersForAProcessThatHasSeenTheEpoch)
{
    OutstandingCommands commands(begin, longestLease);
    const std::int64_t young = absl::ToUnixMillis(begin - absl::Seconds(1));
    const absl::Time seenAt = begin + absl::Milliseconds(300);
    commands.recordEpochSeen(young, seenAt);
    commands.recordEpochSeen(young, seenAt + absl::Seconds(9));
    EXPECT_EQ(commands.foreignLeaseEnd(run, young), seenAt + longestLease);
    // A later process has not seen it.
    EXPECT_EQ(commands.foreignLeaseEnd(run, young + 1), begin + longestPoll + longestDelay + longestLease);
    EXPECT_EQ(commands.foreignLeaseEnd(run, 0), begin + longestPoll + longestDelay + longestLease);
    commands.recordStartsOfEarlierOwner(otherRun, begin);
    EXPECT_EQ(commands.foreignLeaseEnd(otherRun, young), begin + longestPoll + longestDelay + longestLease);
}

// Guards against TWICE: the worker may start the run by any of the commands that were sent to it.
TEST_F(OutstandingCommandsTest, KnowsThatARunMayStartUntilEachOfItsStartsIsSettled)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    const absl::Time until = m_now + longestDelay;
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    m_commands.recordShown(run, m_now);
    EXPECT_TRUE(m_commands.mayStart(run));
    EXPECT_EQ(m_commands.startsMayComeUntil(run), until);
    EXPECT_FALSE(m_commands.mayStart(otherRun));
    m_commands.settleStarts(run);
    EXPECT_FALSE(m_commands.mayStartAny());
}

// Guards against TWICE: a list that shows the run overtakes the reply to a repeated start, which may be the one that
// was executed; the first one may still come, and a later process executes it.
TEST_F(OutstandingCommandsTest, TakesNeitherOfTwoStartsForExecutedWhileOneIsPending)
{
    m_commands.recordNoReply(send(SessionCall::Kind::Start), m_now);
    const SessionCall repeated = send(SessionCall::Kind::Start);
    m_commands.recordShown(run, m_now);
    m_commands.recordReply(repeated, firstProcess, m_now);
    EXPECT_TRUE(m_commands.mayStart(run));
    EXPECT_EQ(m_commands.startsMayComeUntil(run), m_now + longestDelay);
}

// The owner does not know how many starts an earlier one has sent.
TEST_F(OutstandingCommandsTest, SettlesStartsOfAnEarlierOwnerByNoList)
{
    m_commands.recordStartsOfEarlierOwner(run, m_now);
    m_commands.recordShown(run, m_now);
    m_commands.recordShown(run, m_now);
    EXPECT_TRUE(m_commands.mayStart(run));
    EXPECT_EQ(m_commands.startsMayComeUntil(run), m_now + startCall + longestDelay);
    EXPECT_EQ(m_commands.foreignLeaseEnd(run, firstProcess), m_now + startCall + longestDelay + longestLease);
}

// A start that a list has shown is of known outcome, although its call gets no reply.
TEST_F(OutstandingCommandsTest, KnowsThatAPendingStartWasExecuted)
{
    const SessionCall call = send(SessionCall::Kind::Start);
    m_commands.recordShown(run, m_now);
    EXPECT_FALSE(m_commands.mayStart(run));
    EXPECT_FALSE(m_commands.recordNoReply(call, m_now));
    EXPECT_FALSE(m_commands.mayStart(run));
}

TEST_F(OutstandingCommandsTest, TellsTheUnansweredAcknowledgementOfAProcess)
{
    const SessionCall call = send(SessionCall::Kind::Poll, true, 7);
    EXPECT_EQ(m_commands.unansweredAcknowledgement(firstProcess), 0);
    EXPECT_EQ(m_commands.unansweredAcknowledgementUntil(), absl::InfinitePast());
    EXPECT_EQ(m_commands.acknowledgementsMayComeUntil(), m_now + longestDelay);
    m_now += absl::Milliseconds(800);
    m_commands.recordNoReply(call, m_now);
    EXPECT_EQ(m_commands.unansweredAcknowledgement(firstProcess), 7);
    EXPECT_EQ(m_commands.unansweredAcknowledgement(nextProcess), 0);
    EXPECT_EQ(m_commands.unansweredAcknowledgementUntil(), m_now + longestDelay);
    m_commands.settleAcknowledgements();
    EXPECT_EQ(m_commands.unansweredAcknowledgementUntil(), absl::InfinitePast());
}

// Load: a silent worker is sent stops and polls without a lease again and again. Guards against memory that they take.
TEST_F(OutstandingCommandsTest, KeepsNothingOfCommandsThatChangeNothingAtALaterProcess)
{
    for (int repetition = 0; repetition < 1000; ++repetition) {
        m_commands.recordNoReply(send(SessionCall::Kind::Stop, false), m_now);
        m_commands.recordNoReply(send(SessionCall::Kind::Poll, false), m_now);
    }
    EXPECT_EQ(m_commands.lastEffectAt(), absl::InfinitePast());
    EXPECT_TRUE(m_commands.mayAnyBeExecuted());
    m_commands.expire(m_now + longestDelay);
    EXPECT_FALSE(m_commands.mayAnyBeExecuted());
}

} // namespace
} // namespace mangohall::batch
