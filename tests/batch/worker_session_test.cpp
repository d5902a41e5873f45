#include "batch/fleet/worker_session_base.h"

#include <algorithm>

#include "batch/worker_entry_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);
constexpr std::int64_t born = 1000;

RunKey runOf(int index, int attempt = 1)
{
    return { { JobId("0000000000000001"), { 0, 0, index } }, attempt };
}

WorkerReply answerOf(WorkerMillis clock)
{
    WorkerReply reply;
    reply.clock = clock;
    reply.bornMs = born;
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

    // The oldest call of the kind that is out; fails the test if there is none.
    DueCall due(SessionCall::Kind kind)
    {
        takeCalls();
        for (auto call = m_out.begin(); call != m_out.end(); ++call) {
            if (call->about.kind != kind)
                continue;
            DueCall found = *call;
            m_out.erase(call);
            return found;
        }
        ADD_FAILURE() << "no such call is due";
        return {};
    }

    // A worker that drains and is listed no more, with one run.
    void drainWithARun()
    {
        settle();
        const SessionCall begun = startRun(runOf(0));
        m_session.takeReply(begun, answerOf(5100), m_now);
        WorkerEntry draining = makeWorkerEntry("w");
        draining.isDraining = true;
        m_session.update(draining, m_now);
        EXPECT_FALSE(m_session.takesWork(m_now));
        m_session.noteUnlisted();
    }

    bool isDue(SessionCall::Kind kind)
    {
        takeCalls();
        return std::any_of(m_out.begin(), m_out.end(), [kind](const DueCall& call) { return call.about.kind == kind; });
    }

    void takeCalls()
    {
        const std::vector<DueCall> calls = m_session.takeDueCalls(m_now);
        m_out.insert(m_out.end(), calls.begin(), calls.end());
    }

    void settle()
    {
        const DueCall look = due(SessionCall::Kind::Look);
        m_session.takeReply(look.about, answerOf(5000), m_now);
        ASSERT_TRUE(m_session.takesWork(m_now));
    }

    SessionCall startRun(const RunKey& run)
    {
        m_session.reserve(run, { 100, 100, 4 }, m_now);
        m_session.release(run, m_now);
        return due(SessionCall::Kind::Start).about;
    }

    absl::Time m_now = start;
    WorkerSession m_session;
    // Calls that have been made and not answered.
    std::vector<DueCall> m_out;
};

TEST_F(WorkerSessionTest, TakesNoWorkBeforeItHasSeenTheEpoch)
{
    EXPECT_FALSE(m_session.takesWork(m_now));
    settle();
}

// A run that is being told to the worker is not dropped because it is stopped twice.
TEST_F(WorkerSessionTest, KeepsARunThatWasToldThroughTwoStops)
{
    settle();
    startRun(runOf(0));
    EXPECT_FALSE(m_session.stop(runOf(0), m_now));
    EXPECT_FALSE(m_session.stop(runOf(0), m_now));
    EXPECT_EQ(m_session.runs().size(), 1U);
}

TEST_F(WorkerSessionTest, DropsARunThatWasNeverTold)
{
    settle();
    m_session.reserve(runOf(0), { 100, 100, 4 }, m_now);
    const absl::optional<EndedRun> ended = m_session.stop(runOf(0), m_now);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->end, RunEnd::NotStarted);
    EXPECT_EQ(m_session.freeRoom().accelerators, 8);
}

TEST_F(WorkerSessionTest, StopsARunWithoutWaitingForTheAnswerToItsStart)
{
    settle();
    startRun(runOf(0));
    m_session.stop(runOf(0), m_now);
    EXPECT_TRUE(isDue(SessionCall::Kind::Stop));
}

// A start without an answer may be carried out seconds later: a refusal of its repetition proves nothing.
TEST_F(WorkerSessionTest, BarsAStartWhoseAnswerWasLostBeforeItsRunIsOver)
{
    settle();
    const SessionCall first = startRun(runOf(0));
    m_now += absl::Milliseconds(800);
    m_session.takeReply(first, noAnswer(), m_now);
    m_session.takeReply(due(SessionCall::Kind::Look).about, answerOf(6000), m_now);
    const DueCall again = due(SessionCall::Kind::Start);
    WorkerReply refusal = answerOf(6100);
    refusal.refusal = WorkerRefusal::NoRoom;
    EXPECT_TRUE(m_session.takeReply(again.about, refusal, m_now).ended.empty());
    const DueCall stop = due(SessionCall::Kind::Stop);
    // A look that was sent before the stop was confirmed proves nothing either.
    const DueCall early = due(SessionCall::Kind::Look);
    m_now += absl::Milliseconds(2);
    m_session.takeReply(stop.about, answerOf(6200), m_now);
    EXPECT_TRUE(m_session.takeReply(early.about, answerOf(6250), m_now).ended.empty());
    m_now += absl::Milliseconds(2);
    const DueCall proof = due(SessionCall::Kind::Look);
    const SessionNews news = m_session.takeReply(proof.about, answerOf(6300), m_now);
    ASSERT_EQ(news.ended.size(), 1U);
    EXPECT_TRUE(m_session.runs().empty());
}

// Renewals of a silent worker may arrive though their answers do not, so that they must not go on for ever.
TEST_F(WorkerSessionTest, LetsTheLeaseOfASilentWorkerLapse)
{
    settle();
    const SessionCall begun = startRun(runOf(0));
    m_session.takeReply(begun, answerOf(5100), m_now);
    const absl::Time lastRenewal = m_now;
    while (m_now < lastRenewal + absl::Seconds(9)) {
        takeCalls();
        m_now += absl::Milliseconds(100);
        for (const DueCall& call : std::exchange(m_out, {}))
            m_session.takeReply(call.about, noAnswer(), m_now);
        EXPECT_TRUE(m_session.takeLapsed(m_now).empty());
    }
    m_now = lastRenewal + absl::Seconds(12);
    EXPECT_EQ(m_session.takeLapsed(m_now).size(), 1U);
}

TEST_F(WorkerSessionTest, LosesRunsOfADrainedWorkerThatIsGoneAtOnce)
{
    drainWithARun();
    m_session.takeReply(due(SessionCall::Kind::Look).about, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    EXPECT_EQ(m_session.takeLapsed(m_now).size(), 1U);
}

// The look was out when the worker's process ended.
TEST_F(WorkerSessionTest, LosesRunsOfADrainedWorkerThatIsGoneDuringALook)
{
    drainWithARun();
    m_session.takeReply(due(SessionCall::Kind::Look).about, noAnswer(ErrorKind::PeerGone), m_now);
    EXPECT_EQ(m_session.takeLapsed(m_now).size(), 1U);
}

// Guards against a second start of a task that is done: a leaving worker takes no new connections any more, while the
// look that is out is still answered and lists the end.
TEST_F(WorkerSessionTest, WaitsForTheLookThatIsOutBeforeADrainedWorkerCountsAsGone)
{
    drainWithARun();
    const DueCall look = due(SessionCall::Kind::Look);
    m_session.stop(runOf(0), m_now);
    m_session.takeReply(due(SessionCall::Kind::Stop).about, noAnswer(ErrorKind::OwnerUnreachable), m_now);
    EXPECT_TRUE(m_session.takeLapsed(m_now).empty());
    EXPECT_FALSE(m_session.isForgettable());
    WorkerReply reply = answerOf(5200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" } };
    const SessionNews news = m_session.takeReply(look.about, reply, m_now);
    ASSERT_EQ(news.ended.size(), 1U);
    EXPECT_EQ(news.ended.front().end, RunEnd::Done);
    EXPECT_TRUE(m_session.isForgettable());
}

TEST_F(WorkerSessionTest, IsNotForgottenWhileALookIsOut)
{
    settle();
    m_session.takeReply(startRun(runOf(0)), answerOf(5100), m_now);
    const DueCall look = due(SessionCall::Kind::Look);
    // The list shows another process first, so that the run counts as lost.
    WorkerEntry reborn = makeWorkerEntry("w");
    reborn.bornMs = born + 1;
    m_session.update(reborn, m_now);
    m_session.noteUnlisted();
    EXPECT_FALSE(m_session.isForgettable());
    m_session.takeReply(look.about, noAnswer(ErrorKind::PeerGone), m_now);
    EXPECT_TRUE(m_session.isForgettable());
}

TEST_F(WorkerSessionTest, EndsWhatAnotherProcessOfTheNameHad)
{
    settle();
    const SessionCall begun = startRun(runOf(0));
    m_session.takeReply(begun, answerOf(5100), m_now);
    WorkerEntry reborn = makeWorkerEntry("w");
    reborn.bornMs = born + 1;
    ASSERT_EQ(m_session.update(reborn, m_now).size(), 1U);
    EXPECT_FALSE(m_session.takesWork(m_now));
}

TEST_F(WorkerSessionTest, AcknowledgesEndsOnlyInOrderAndOnceTheyAreDurable)
{
    settle();
    const SessionCall begun = startRun(runOf(0));
    m_session.takeReply(begun, answerOf(5100), m_now);
    m_now += absl::Milliseconds(10);
    const DueCall look = due(SessionCall::Kind::Look);
    WorkerReply reply = answerOf(5200);
    reply.ended = { { 1, runOf(0), RunEnd::Done, "" }, { 2, runOf(1), RunEnd::Done, "" } };
    EXPECT_EQ(m_session.takeReply(look.about, reply, m_now).ended.size(), 2U);
    m_session.noteDurableEnd(2);
    m_now += absl::Seconds(1);
    const DueCall early = due(SessionCall::Kind::Look);
    EXPECT_EQ(std::get<Look>(early.call.command).acknowledgedEnd, 0);
    EXPECT_TRUE(m_session.takeReply(early.about, reply, m_now).ended.empty());
    m_session.noteDurableEnd(1);
    m_now += absl::Seconds(1);
    const DueCall late = due(SessionCall::Kind::Look);
    EXPECT_EQ(std::get<Look>(late.call.command).acknowledgedEnd, 2);
}

TEST_F(WorkerSessionTest, NamesRunsThatDoNotMove)
{
    settle();
    m_session.takeReply(startRun(runOf(0)), answerOf(5100), m_now);
    WorkerReply reply = answerOf(5200);
    for (int percent : { 10, 20, 20, 20 }) {
        m_now += absl::Milliseconds(700);
        reply.running = { { runOf(0), "", percent } };
        m_session.takeReply(due(SessionCall::Kind::Look).about, reply, m_now);
        EXPECT_EQ(m_session.standingRuns(m_now).size(), m_now >= start + absl::Milliseconds(2600) ? 1U : 0U);
    }
}

// Urgent work does not evict where room is about to come free anyway.
TEST_F(WorkerSessionTest, TellsHowLongARunGoesOn)
{
    settle();
    m_session.takeReply(startRun(runOf(0)), answerOf(5100), m_now);
    EXPECT_EQ(WorkerSession::remainingOf(m_session.runs().at(runOf(0)), m_now), absl::InfiniteDuration());
    m_now += absl::Seconds(4);
    WorkerReply reply = answerOf(9100);
    reply.running = { { runOf(0), "", 80 } };
    m_session.takeReply(due(SessionCall::Kind::Look).about, reply, m_now);
    EXPECT_EQ(WorkerSession::remainingOf(m_session.runs().at(runOf(0)), m_now), absl::Seconds(1));
    m_now += absl::Milliseconds(400);
    EXPECT_EQ(WorkerSession::remainingOf(m_session.runs().at(runOf(0)), m_now), absl::Milliseconds(600));
}

TEST_F(WorkerSessionTest, KeepsRoomUntilAStoppedRunIsListedAsEnded)
{
    settle();
    const SessionCall begun = startRun(runOf(0));
    m_session.takeReply(begun, answerOf(5100), m_now);
    m_session.stop(runOf(0), m_now);
    EXPECT_EQ(m_session.freeRoom().accelerators, 4);
    EXPECT_EQ(m_session.roomAfterStops().accelerators, 8);
}

} // namespace
} // namespace mangohall::batch
