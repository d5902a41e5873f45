// The aggregate of the commands to one worker that may still be executed.
#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "batch/worker/session_call_type.h"

namespace mangohall::batch {

// The commands to one worker whose outcome is unknown: their calls are pending, or have ended without a reply.
// Whichever process the worker has by then may execute such a command: a later one than it was sent to knows neither a
// stop nor an epoch that the earlier one has seen, counts its ends anew, and takes a time on the earlier one's clock
// for the longest lease from that moment on. Commands that change nothing at a later process, as stops do, count only
// in `mayAnyBeExecuted`. Not safe to call from several threads.
class OutstandingCommands {
public:
    // A command without a reply is executed within this time after its call has failed, or never. A worker executes it
    // at most 12 s after it has arrived, and the call's connection is reset, so that nothing arrives later. The rest is
    // for the transit, and for worker clocks that go slow.
    static constexpr absl::Duration maxDelay = absl::Milliseconds(12500);
    // The times of day of two machines, as their processes have read them at their start, differ by less than this.
    static constexpr absl::Duration maxTimeOfDayError = absl::Seconds(5);

    // `ownedSince` is when this node became the owner: what earlier owners had sent until then is unknown.
    // `longestLease` is the longest time for which a worker's lease lasts after a command, on the owner's clock.
    OutstandingCommands(absl::Time ownedSince, absl::Duration longestLease);

    // Records a call that is sent now, and numbers it.
    void recordSent(SessionCall& call);
    // Records that the command was executed or refused by this process, given by its start; 0 if that is unknown.
    void recordReply(const SessionCall& call, std::int64_t repliedBy, absl::Time now);
    // The following two return whether the outcome was unknown until now. It is not if a list has shown that the
    // command was executed.
    bool recordNotExecuted(const SessionCall& call);
    bool recordNoReply(const SessionCall& call, absl::Time now);
    // Records that a start was executed by a process that the reply does not name: the start may have been executed by
    // the called process as well, so it counts as one without a reply until `settleRepliesBefore`.
    void recordReplyOfUnknown(const SessionCall& call, absl::Time now);
    // Records that this process, given by its start, has replied to a command that was sent then: no later process has
    // sent a reply that had arrived before.
    void settleRepliesBefore(absl::Time sentAt, std::int64_t processStartMs);
    // Records that an earlier owner may have sent any number of starts of the run to the process, given by its start,
    // none of which is executed after `until`.
    void recordStartsOfEarlierOwner(
        const RunKey& run, absl::Time now, absl::Time until = absl::InfiniteFuture(), std::int64_t processStartMs = 0);
    // Records that an earlier owner has written that no command to an earlier process than this one, given by its
    // start, is executed by it after `until`, on the clock of that owner.
    void recordEarlierCommandsUntil(std::int64_t processStartMs, absl::Time until);
    // Records that this process, given by its start, has executed a poll of this owner, and so has seen its epoch: from
    // now on it refuses what earlier owners have sent. Only the first record of a process counts.
    void recordEpochSeen(std::int64_t processStartMs, absl::Time now);
    // Records that this process, given by its start, was still there then: no later one has executed what was sent to
    // it and could not be executed any more by then.
    void recordAlive(std::int64_t processStartMs, absl::Time aliveAt);
    // Records that the worker's present process shows the run for the first time, so that one of its starts was
    // executed.
    void recordShown(const RunKey& run, absl::Time now);
    // Records that no start of the run may be executed any more.
    void settleStarts(const RunKey& run);
    // Records that the unanswered acknowledgements were executed.
    void settleAcknowledgements();
    // Drops what can have no effect any more.
    void expire(absl::Time now);

    // Whether a start of the run may still be executed, and until when one without a reply may be: the infinite past if
    // there is none.
    bool mayStart(const RunKey& run) const;
    absl::Time startsMayComeUntil(const RunKey& run) const;
    // Whether a start of any run may still be executed.
    bool mayStartAny() const;
    // Whether a call is pending that starts a run, renews a lease or acknowledges ends.
    bool isAnyPending() const;
    // Whether any command without a reply may still be executed, as of the last `expire`.
    bool mayAnyBeExecuted() const { return m_anyUntil != absl::InfinitePast(); }

    // Until when, on the owner's clock, a lease may last that keeps the run going and was granted by a command to an
    // earlier process than the one that has the run. That one is given by its start; 0 if it may be any. The infinite
    // past if there is none.
    absl::Time foreignLeaseEnd(const RunKey& run, std::int64_t processStartMs) const;

    // Until when a command that renews a lease and was sent to an earlier process may be executed by the process, given
    // by its start; 0 stands for any. The infinite past if there is none.
    absl::Time foreignRenewalUntil(std::int64_t processStartMs) const;

    // The last end that an unanswered acknowledgement of this process' ends acknowledges; 0 if there is none.
    std::int64_t unansweredAcknowledgement(std::int64_t processStartMs) const;
    // Until when an unanswered acknowledgement may be executed, and any: a pending one as well. The infinite past if
    // there is none.
    absl::Time unansweredAcknowledgementUntil() const;
    absl::Time acknowledgementsMayComeUntil() const;

    // Until when a command that renews a lease or acknowledges ends may have an effect: it may still be executed, or
    // the lease that it has granted lasts. The infinite past if there is none.
    absl::Time lastEffectAt() const;

private:
    struct Command {
        SessionCall call;
        // Until when it may be executed; for an executed one, when that was known.
        absl::Time until;
        bool isPending = true;
        // When a process that the reply does not name has confirmed it; the infinite future if none has.
        absl::Time confirmedAt = absl::InfiniteFuture();
        // A start that may still be executed.
        bool mayStart = false;
        // It stands for any number of starts.
        bool isOfEarlierOwner = false;
        // Only the called process may have executed it.
        bool isBoundToProcess = false;
    };

    Command* find(const SessionCall& call);
    void erase(const SessionCall& call);
    // Keeps of an executed command only the lease that it may have granted to another process than it was sent to.
    static void markExecuted(Command& command, absl::Time now);
    // The only process that may have executed a start of the run, given by its start; 0 if it may be any.
    std::int64_t onlyProcessOf(const RunKey& run) const;
    // Until when a command of an earlier owner to an earlier process may be executed by the process; 0 stands for any.
    absl::Time earlierOwnersUntil(std::int64_t processStartMs) const;

    const absl::Time m_earlierOwnersUntil;
    const absl::Duration m_longestLease;
    std::int64_t m_lastNumber = 0;
    std::vector<Command> m_commands;
    // What earlier owners have written of processes of the worker.
    absl::flat_hash_map<std::int64_t, absl::Time> m_earlierCommandsUntil;
    // When each process was known to have seen this owner's epoch.
    absl::flat_hash_map<std::int64_t, absl::Time> m_epochSeenAt;
    // Until when any command without a reply may be executed.
    absl::Time m_anyUntil = absl::InfinitePast();
};

} // namespace mangohall::batch
