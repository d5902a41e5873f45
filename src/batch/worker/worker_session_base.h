// The aggregate of one worker, from the owner's point of view.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "batch/job/progress_record_type.h"
#include "batch/worker/address_claim_base.h"
#include "batch/worker/outstanding_commands_base.h"
#include "batch/worker/run_slot_type.h"
#include "batch/worker/session_call_type.h"
#include "batch/worker/worker_health_base.h"
#include "batch/worker/worker_lease_base.h"
#include "batch/worker/worker_type.h"

namespace mangohall::batch {

// Delay before a command that got no reply is sent again.
inline constexpr absl::Duration commandRetryPeriod = absl::Milliseconds(250);

// Settings of a worker session.
struct SessionSettings {
    // The longest lease that a worker grants.
    absl::Duration maxLease = absl::Seconds(10);
    // The lease that the owner asks for, if it is shorter. It outlasts a silence of 5 s and the longest pause between
    // polls.
    absl::Duration requestedLease = absl::Seconds(7);
    // The shortest time for which the worker may hold a poll open until a run ends.
    absl::Duration pollWait = absl::Milliseconds(700);
    // The silence after which the platform removes a worker's entry.
    absl::Duration entryTimeout = absl::Milliseconds(4500);

    // The longest time for which a worker's lease lasts after it was granted, on the owner's clock.
    absl::Duration longestLease() const;
};

// The changes that follow from one reply or from a missing reply.
struct SessionUpdate {
    // Runs that have ended. One that was done while a start may still be executed stays in the session, and is returned
    // again once none may.
    std::vector<EndedRun> ended;
    // The runs that the worker lists as running; filled in by the reply to a poll only.
    std::vector<RunningRow> running;
    // A run whose start the worker has confirmed.
    absl::optional<RunKey> confirmedStart;
    // A run whose start got no reply, so that it may still be executed.
    absl::optional<RunKey> unansweredStart;
    // The start, in Unix milliseconds, of the process that a poll without a reply was sent to, if it renews the lease.
    absl::optional<std::int64_t> unansweredRenewal;
    // For a call without a reply: how long this node itself was late to send it or to read a reply.
    absl::Duration senderDelay = absl::ZeroDuration();
    // A run that the worker has barred by a stop before its start was confirmed.
    absl::optional<RunKey> barredStart;
    // The worker has seen a larger epoch, so another node is the owner.
    bool isFenced = false;
    // The worker replied to a poll for the first time, or for the first time after a failed call.
    bool isFound = false;
    // The first call failed since the worker's last reply to a poll.
    bool isLost = false;
};

// Whether a worker gets new runs, or why not.
enum class WorkerAvailability {
    Available,
    // The worker list has no usable row of the worker.
    Unlisted,
    // The worker has not replied since a call failed, or since the owner knows of it, or its process may have been
    // replaced.
    Silent,
    // The worker drains, or its data centre is being evacuated.
    Closed,
    // The worker has refused a start just before, or an acknowledgement to an earlier process may still be executed, or
    // a record says by when one of its runs has ended, so that it gets no start.
    Paused,
};

// One worker: the runs that use its capacity, the latest time at which its lease can end, and the calls that are due. A
// run is dropped only after the worker has shown that the run is over and cannot start any more, or after its lease
// must have expired. A start without a reply may be executed by a later process of the worker, which knows neither a
// stop nor an epoch that an earlier process has seen, so only time shows that it cannot start any more. Not safe to
// call from several threads.
class WorkerSession {
public:
    // `ownedSince` is when this node became the owner; earlier owners may have sent commands to the worker until then.
    WorkerSession(
        WorkerEntry entry, Epoch epoch, SessionSettings settings, absl::Time ownedSince = absl::InfinitePast());

    // The last row of the worker's present process; before there is one, the last row of any process.
    const WorkerEntry& entry() const { return m_processEntry ? *m_processEntry : m_entry; }
    // The last row of any process.
    const WorkerEntry& lastEntry() const { return m_entry; }
    // The address in the last row; empty if none was read.
    absl::string_view address() const { return m_entry.address; }
    // When the worker's process started, in Unix milliseconds, by its own replies; 0 if none has named it.
    std::int64_t processStartMs() const { return m_processStartMs; }
    WorkerHealth& health() { return m_health; }
    const WorkerHealth& health() const { return m_health; }
    const absl::btree_map<RunKey, RunSlot>& runs() const { return m_runs; }
    // Whether a start of the run may still be executed, now or by a later process. Until none may, the run keeps its
    // capacity, and its task may run nowhere else.
    bool mayStillStart(const RunKey& run) const { return m_commands.mayStart(run); }
    // Until when a start of the run without a reply may still be executed; the infinite past if there is none.
    absl::Time startsMayComeUntil(const RunKey& run) const { return m_commands.startsMayComeUntil(run); }
    // When the run must be over if the worker does not reply.
    absl::Time lapsesAt(const RunKey& run, const RunSlot& slot) const;
    // Whether the worker can be called and no call has failed since its last reply to a poll.
    bool isReachable() const { return hasAddress() && m_failedCalls == 0; }
    // Whether the worker runs the run, by all that it has replied; false while it does not reply.
    bool isRunning(const RunKey& run) const;
    // When the process started that has the run, in Unix milliseconds; 0 if that is unknown.
    std::int64_t processOf(const RunKey& run) const;
    // What the record of a task says of a process of this worker, given by its start.
    WorkerProcess describeProcess(std::int64_t processStartMs) const;

    // Applies a new row of the worker list. The worker has reported the row after `reportedAfter`, which is the
    // infinite past if that is unknown. A row may come from another writer, so a later start of the process that it
    // names ends no run: the worker is asked first, and gets no work until it has replied.
    void update(const WorkerEntry& entry, absl::Time reportedAfter, absl::Time now);
    // Records that the worker list has no usable row of the worker.
    void markUnlisted();
    // Records that the worker's row was removed, by the worker itself or since it had expired.
    void markRemoved(absl::Time now);
    // Records that another worker has replied to a call that was sent to this address then.
    void recordOtherWorker(absl::string_view address, absl::Time sentAt) { m_claim.recordOtherWorker(address, sentAt); }
    // Whether the list has a usable row of the worker. The row of a worker whose address was taken over is not.
    bool isListed() const { return m_isListed && !m_claim.isTakenOver(); }
    // The earliest time at which a draining worker may be gone; the infinite future for a worker that stays.
    absl::Time leavesAt() const { return m_leavesAt; }
    // Whether the session may be deleted: the worker is not listed, has no run, no poll is pending whose reply may
    // still list ends, and no command that renews a lease or acknowledges ends may still have an effect at a later
    // process.
    bool isRemovable(absl::Time now) const;

    // Whether the worker has replied to a poll with this owner's epoch.
    bool hasAnswered() const { return m_hasAnswered; }
    // Whether new runs may be started on the worker: it is listed by a row of the process that has replied, is neither
    // draining nor evacuated, has refused no start just before, and executes no acknowledgement that was sent to an
    // earlier process.
    bool acceptsWork(absl::Time now) const { return availability(now) == WorkerAvailability::Available; }
    WorkerAvailability availability(absl::Time now) const;

    // The capacity that no run uses and that is not withheld.
    Resources freeCapacity() const;
    // The capacity that is free once every run that is being stopped has ended and nothing is withheld any more.
    Resources freeCapacityAfterStops() const;
    // Withholds the capacity of a run that has not started and is dropped, until the store does not show it as placed
    // any more: otherwise the next owner might start it beside what was placed in its room.
    void withholdRoom(const RunKey& run, const Resources& demand) { m_withheldRoom[run] = demand; }
    void releaseRoom(const RunKey& run) { m_withheldRoom.erase(run); }

    // Reserves capacity for a run whose placement is not durable yet.
    void reserve(const RunKey& run, const Resources& demand, absl::Time now);
    // Marks the placement of a reserved run as durable, so that its start is sent with the next due calls.
    void release(const RunKey& run, absl::Time now);
    // Reserves capacity for a run that an earlier owner has placed on this process of the worker. If all its starts are
    // known to have been executed, a reply to a poll with this owner's epoch decides whether it still runs; otherwise
    // one may still be executed for a while. `lapsesByMs` is what the record says of its end, see `TaskProgress`.
    void adopt(const RunKey& run, const Resources& demand, const WorkerProcess& placedOn, bool isStarted,
        absl::Time now, std::int64_t lapsesByMs = 0);
    // The same for a run that was done while one of its starts might still be executed.
    void adoptDone(const RunKey& run, const Resources& demand, absl::Time now);
    // Requests the stop of a run. A run whose start was never sent is dropped at once and returned.
    absl::optional<EndedRun> stop(const RunKey& run, absl::Time now);
    bool isStopWanted(const RunKey& run) const;
    // Sets the resources of a run, for a run found on the worker that this owner did not place. Does nothing if the
    // session has no such run.
    void setDemand(const RunKey& run, const Resources& demand);

    // Records that the end with this number is durable. An end is acknowledged once it and all listed ends before it
    // are durable.
    void markEndDurable(std::int64_t number);

    // How long the worker may hold the next polls open, unless it drains.
    void setPollWait(absl::Duration wait) { m_pollWait = wait; }
    // While this is off, no start is due.
    void setMayStart(bool mayStart) { m_mayStart = mayStart; }
    // Sets how many starts the next `takeDueCalls` may return, and how long each waits for its reply before it is sent
    // again.
    void setStartLimits(std::size_t room, absl::Duration retryPeriod)
    {
        m_startRoom = room;
        m_startRetryPeriod = retryPeriod;
    }
    // Whether the last `takeDueCalls` has left out a start for lack of room.
    bool isStartLeftOut() const;
    // Sets whether the worker's data centre is being evacuated: if so, the worker gets no start, not even a repeated
    // one, and its runs go on.
    void setEvacuated(bool isEvacuated) { m_isEvacuated = isEvacuated; }
    bool isEvacuated() const { return m_isEvacuated; }
    // Returns the calls that are due and records them as sent.
    std::vector<DueCall> takeDueCalls(absl::Time now);
    // When `takeDueCalls` or `takeLapsedRuns` has something to do next, unless a method is called that changes the
    // session.
    absl::Time nextDue() const;

    // Applies the reply to a call, or its failure.
    SessionUpdate handleReply(const SessionCall& context, const WorkerReply& reply, absl::Time now);

    // The runs on a silent worker of which a start may still be executed, with the time by which each has ended unless
    // the worker replies before. Runs whose record says so already are left out, and all while a call is pending that
    // may put off their ends.
    std::vector<std::pair<RunKey, absl::Time>> lapsesToRecord() const;
    // Records that the record of the run's task says by when it has ended: until that is withdrawn, the worker gets no
    // start and no renewal.
    void markLapseRecorded(const RunKey& run, absl::Time lapsesAt);
    // The runs with such a record whose withdrawal was not begun; it counts as begun from now on.
    std::vector<RunKey> takeLapsesToWithdraw();
    void markLapseWithdrawn(const RunKey& run);

    // Estimates the remaining time of a run from its progress so far; infinite if the progress is too small for an
    // estimate.
    static absl::Duration remainingTime(const RunSlot& slot, absl::Time now);
    // Whether the run is expected to end by itself within the time. A run that has outlasted its expected end for a
    // while is not: it may stand still.
    static bool isAboutToEnd(const RunSlot& slot, absl::Duration within, absl::Time now);

    // Drops and returns the runs whose start was not sent.
    std::vector<EndedRun> takeUnsentRuns();
    // Drops and returns the runs that can no longer be running on a worker that does not reply: their lease must have
    // expired, the drained worker is gone, or another worker has taken over its address.
    std::vector<EndedRun> takeLapsedRuns(absl::Time now);

private:
    // Handles the reply of this process, given by its start, to a start; 0 if it is unknown which has replied.
    void handleStartReply(const SessionCall& context, const WorkerReply& reply, std::int64_t repliedBy, absl::Time now,
        SessionUpdate& update);
    // Whether a start was executed by a process other than the one that may have executed an earlier sending of it.
    bool mayBeOneOfTwoRuns(const SessionCall& context, const WorkerReply& reply, std::int64_t repliedBy) const;
    // Handles a call that got no reply, or whose reply shows that it was not executed.
    void handleFailure(const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update);
    // Whether the worker's process has replied to a command that was sent when this call should have got its reply, or
    // later.
    bool hasRepliedSince(const SessionCall& context) const;
    // Handles a start that may have been executed, or did not reach the worker.
    void handleFailedStart(const SessionCall& context, const WorkerReply& reply, SessionUpdate& update);
    void dropUnstartedRun(
        absl::btree_map<RunKey, RunSlot>::iterator found, EndEvidence evidence, SessionUpdate& update);
    bool recordListedEnd(RunSlot& slot, const EndedRun& ended, absl::Time now);
    // Records that the worker lists the run, as running or as ended.
    void recordListed(const RunKey& run, RunSlot& slot, absl::Time now);
    // Ends the wait for starts of the run that could not be executed any more when the poll was sent.
    void settleStarts(const RunKey& run, RunSlot& slot, absl::Time polledAt);
    // The end of a run that the worker does not list as running.
    static EndedRun describeEnd(const RunKey& run, const RunSlot& slot);
    void handleStopReply(const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update);
    void handlePollReply(const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update);
    // Records a call without a usable reply.
    void recordFailedCall(const SessionCall& context, const absl::Status& status, SessionUpdate& update);
    // Whether the record of a task says by when its run on this worker has ended.
    bool hasRecordedLapse() const { return m_hasRecordedLapse; }
    void updateHasRecordedLapse();
    // Stops the starts that the worker has not confirmed for so long that they are not repeated any more.
    void giveUpStarts(absl::Time now);
    bool hasLeft() const;
    // Whether the address of the worker is known. It is not if only the progress of an earlier owner names the worker;
    // such a worker is not called until it is listed again.
    bool hasAddress() const { return !m_entry.address.empty(); }
    // Whether nothing has happened since the last reply to a poll that another process of the worker may explain: a
    // call without a reply, or a sign of a restart.
    bool isProcessCertain() const { return m_hasAnswered && m_failedCalls == 0; }
    // Records the worker's clock and process, and that it has replied if the call was a poll.
    void recordAnswer(const SessionCall& context, const WorkerReply& reply, absl::Time now, SessionUpdate& update);
    // When the process that is called now started, as far as its row or its replies show.
    std::int64_t calledProcessStart() const;
    // Asks the worker whether its process was replaced by one with this start.
    void suspectRestart(std::int64_t processStartMs);
    // Ends the suspicion if the worker has replied to a poll that was sent after it began.
    void resolveSuspicion(const SessionCall& context);
    void applyProcessStart(std::int64_t processStartMs, absl::Time now, std::vector<EndedRun>& ended);
    // Makes the last row the row of the worker's process if it is one.
    void takeProcessEntry();
    std::vector<EndedRun> endRunsOfEarlierProcess();
    // What shows that the run is over on a worker that does not reply; empty if nothing does.
    absl::optional<EndEvidence> evidenceOfEnd(const RunKey& run, const RunSlot& slot, absl::Time now) const;
    // The process that has sent the reply, given by its start; 0 if that is unknown.
    std::int64_t replyingProcess(const WorkerReply& reply, absl::Time now) const;
    // Whether the worker gets no starts: it drains, or its data centre is being evacuated.
    bool isClosedToStarts() const { return m_entry.isDraining || m_isEvacuated; }
    // Bars the unconfirmed starts of a worker that gets none any more.
    void barUnconfirmedStarts(absl::Time now);
    // When the first of the starts was sent that have no reply yet; the infinite future if there is none.
    absl::Time firstPendingStartSentAt() const;
    // Whether an end is not acknowledged yet since the outcome of a start, or of another command, is
    // unknown.
    bool isAcknowledgementHeldBack() const;
    // Whether the pending poll acknowledges ends. No start is sent beside it.
    bool isAcknowledgementPending() const { return m_isPollPending && m_sentAcknowledgedEnd != 0; }
    // Ends the wait for a late acknowledgement if the worker lists none of the ends any more that it acknowledges.
    void reviewLateAcknowledgement(const WorkerReply& reply);
    // The end that the next poll acknowledges; 0 if none is to be acknowledged, or not yet.
    std::int64_t nextAcknowledgement() const;
    void handleRunningRow(const RunningRow& row, absl::Time now);
    void handleEndedRow(const EndedRow& row, absl::Time now, SessionUpdate& update);
    void dropUnlistedRuns(const SessionCall& context, const WorkerReply& reply, SessionUpdate& update);
    bool isPollDue(absl::Time now) const;
    // When the next poll is due: at the latest when a list may settle a start in doubt.
    absl::Time nextPollAt() const;
    absl::Time nextUsualPollAt() const;
    // When the first of the starts without a reply cannot be executed any more, so that the next list settles it; the
    // infinite future if there is none.
    absl::Time nextSettlement() const;
    // Whether the session has a run that the worker may be running: any but the reserved ones.
    bool hasLiveRuns() const;
    // How long the worker may hold the next poll open.
    absl::Duration nextPollWait(absl::Time now) const;
    DueCall makePoll(absl::Time now);
    DueCall makeRunCall(SessionCall::Kind kind, const RunKey& run, absl::Time now);
    WorkerCall makeCall(absl::Duration timeout) const;
    // Makes the call renew the lease if the worker's clock is known.
    void grantLease(DueCall& due, absl::Time now);
    // Delay before a stop is repeated that got no reply.
    static absl::Duration stopRetryPeriod(int unansweredStops);
    // When the next start or stop command of the run is due; the infinite future for a start that was left out.
    absl::Time commandDueAt(const RunSlot& slot) const;
    // When the next start command of the run is due, if there is room for it.
    absl::Time startDueAt(const RunSlot& slot) const;
    // Whether all that may run on the worker does not fit together, as an earlier owner has placed it in other order
    // than it has written it.
    bool isOvercommitted() const;

    // The last row of the worker, which may be that of an earlier process or of another writer.
    WorkerEntry m_entry;
    // The last row that names the process which replies; none if none was read.
    absl::optional<WorkerEntry> m_processEntry;
    // The latest start that a reply of the worker has named; 0 if there was none.
    std::int64_t m_processStartMs = 0;
    // The last start that a row has named and that was later than that of the replies.
    std::int64_t m_suspectedStartMs = 0;
    // The worker has not replied yet since a row has named a later start.
    bool m_isRestartSuspected = false;
    // Whether the worker is still at its address.
    AddressClaim m_claim;
    WorkerHealth m_health;
    absl::Time m_leavesAt = absl::InfiniteFuture();
    const Epoch m_epoch;
    const SessionSettings m_settings;
    bool m_isListed = true;
    // The worker's last known report was made after this time.
    absl::Time m_reportedAfter = absl::InfinitePast();
    // The last row was written after this time.
    absl::Time m_rowWrittenAfter = absl::InfinitePast();
    // The row was removed by the worker itself, which does so as it leaves.
    bool m_hasDeregistered = false;
    bool m_hasAnswered = false;
    absl::btree_map<RunKey, RunSlot> m_runs;
    // What is withheld of the capacity, by the run that it was reserved for.
    absl::btree_map<RunKey, Resources> m_withheldRoom;

    WorkerLease m_lease;
    OutstandingCommands m_commands;

    absl::Duration m_pollWait;
    bool m_mayStart = true;
    // How many starts may be sent, and when that was last considered.
    std::size_t m_startRoom = std::numeric_limits<std::size_t>::max();
    absl::Time m_callsTakenAt = absl::InfinitePast();
    absl::Duration m_startRetryPeriod = commandRetryPeriod;
    bool m_isEvacuated = false;
    // Kept up to date by `updateHasRecordedLapse`, as looking at all runs for each of them would take too long.
    bool m_hasRecordedLapse = false;
    bool m_isPollPending = false;
    // The number of starts whose calls have not ended.
    int m_pendingStarts = 0;
    // When the last poll was sent.
    absl::Time m_polledAt = absl::InfinitePast();
    // When the latest command was sent that the present process has replied to.
    absl::Time m_repliedSentAt = absl::InfinitePast();
    // Failed calls since the last reply to a poll.
    int m_failedCalls = 0;
    // At the last failed call no process was listening at the worker's address, or the connection was closed.
    bool m_isUnreachable = false;
    // When the latest call was sent that found no process listening at the worker's address.
    absl::Time m_refusedSentAt = absl::InfinitePast();
    // After a refused start the worker accepts no new work until then.
    absl::Time m_startsPausedUntil = absl::InfinitePast();
    // Ends that the worker lists and that are not acknowledged yet, and whether each is durable.
    std::map<std::int64_t, bool> m_listedEnds;
    // The last end that may be acknowledged, the one that the last poll acknowledged, and the last one of a poll that
    // was replied to.
    std::int64_t m_acknowledgedEnd = 0;
    std::int64_t m_sentAcknowledgedEnd = 0;
    std::int64_t m_confirmedAcknowledgement = 0;
};

} // namespace mangohall::batch
