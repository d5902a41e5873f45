// The fixture of the tests of a worker session.
#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include "batch/worker/worker_session_base.h"
#include "batch/worker_entry_func.h"
#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {

// When each test starts.
inline const absl::Time start = absl::FromUnixSeconds(1700000000);
// The start, in Unix milliseconds, of the worker's first process.
inline constexpr std::int64_t processStartMs = 1000;

// A command without a reply may be executed until this long after its call has failed.
inline constexpr absl::Duration longestDelay = absl::Milliseconds(12500);

// A run of the task with this index.
inline RunKey runOf(int index, int attempt = 1)
{
    return { { JobId("0000000000000001"), { 0, 0, index } }, attempt };
}

// A reply of the worker's first process, at this time on its clock.
inline WorkerReply answerOf(WorkerMillis clock)
{
    WorkerReply reply;
    reply.clock = clock;
    reply.processStartMs = processStartMs;
    return reply;
}

// The failure to get a reply.
inline WorkerReply noAnswer(ErrorKind kind = ErrorKind::TimedOut)
{
    WorkerReply reply;
    reply.status = makeError(kind, "nothing came");
    return reply;
}

// Settings of a session that grants the longest leases.
inline SessionSettings longestLeases()
{
    SessionSettings settings;
    settings.requestedLease = settings.maxLease;
    return settings;
}

// A session with one worker, whose calls the test answers.
class WorkerSessionTest : public testing::Test {
protected:
    WorkerSessionTest()
        : m_session(makeWorkerEntry("w"), 1, longestLeases())
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

    // Lets this call of a start fail, and the calls of all its repetitions.
    void failStarts(const SessionCall& first)
    {
        m_session.handleReply(first, noAnswer(), m_now);
        while (isDue(SessionCall::Kind::Start))
            m_session.handleReply(due(SessionCall::Kind::Start).context, noAnswer(), m_now);
    }

    // Starts a run; its call fails at once. Returns until when the start may still be executed.
    absl::Time leaveStartWithoutReply(const RunKey& run = runOf(0))
    {
        const SessionCall call = startRun(run);
        EXPECT_EQ(m_session.handleReply(call, noAnswer(), m_now).unansweredStart, run);
        return m_now + longestDelay;
    }

    // Answers the next poll with this list, a moment after it was sent.
    SessionUpdate answerPoll(const WorkerReply& list)
    {
        const SessionCall poll = due(SessionCall::Kind::Poll).context;
        m_now += absl::Milliseconds(1);
        return m_session.handleReply(poll, list, m_now);
    }

    // Applies a row that names a later start of the worker's process.
    void nameLaterStart()
    {
        WorkerEntry restarted = makeWorkerEntry("w");
        restarted.processStartMs = processStartMs + 1;
        m_session.update(restarted, m_now, m_now);
    }

    // A start is confirmed by a reply that names no process and has this clock, and then a row names a later start.
    void confirmAStartBeforeARestart(WorkerMillis clock)
    {
        const SessionCall startCall = startRun(runOf(0));
        m_session.handleReply(due(SessionCall::Kind::Poll).context, answerOf(5100), m_now);
        WorkerReply confirmed;
        confirmed.clock = clock;
        m_session.handleReply(startCall, confirmed, m_now);
        nameLaterStart();
        EXPECT_TRUE(m_session.runs().contains(runOf(0)));
        m_now += absl::Milliseconds(1);
    }

    SessionCall startRun(const RunKey& run, const Resources& demand = { 100, 100, 4 })
    {
        m_session.reserve(run, demand, m_now);
        m_session.release(run, m_now);
        return due(SessionCall::Kind::Start).context;
    }

    absl::Time m_now = start;
    WorkerSession m_session;
    // Calls that were sent and have not been answered.
    std::vector<DueCall> m_pending;
};

} // namespace mangohall::batch
