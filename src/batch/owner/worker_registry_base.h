#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "batch/evacuation/evacuation_set_base.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/address_index_base.h"
#include "batch/owner/command_window_base.h"
#include "batch/owner/due_index_base.h"
#include "batch/owner/initial_poll_queue_base.h"
#include "batch/store/collection_follower_base.h"
#include "batch/store/record_type.h"
#include "batch/worker/worker_session_base.h"

namespace mangohall::batch {

// The changes that follow from one worker's reply, or from the lack of one.
struct WorkerUpdate {
    WorkerName worker;
    // When the worker's process started, in Unix milliseconds, by its own replies; 0 if that is unknown.
    std::int64_t processStartMs = 0;
    SessionUpdate session;
};

// The runs whose start was not sent.
struct UnsentStarts {
    // The runs whose placement is durable, so that their start may be sent, and those whose placement is not.
    std::size_t released = 0;
    std::size_t reserved = 0;
    // Since when the first of the released runs waits; the infinite future if there is none.
    absl::Time oldestSince = absl::InfiniteFuture();
};

// Provides the payload and checkpoint of a start command.
class StartSource {
public:
    virtual ~StartSource() = default;
    virtual StartRun describeStart(const RunKey& run) const = 0;
};

// The registry of the workers that the owner knows, each with its session. Not safe to call from several threads.
class WorkerRegistry {
public:
    // `processorShare` is the share of a processor that the node may use: with a smaller one, workers are called less
    // often.
    explicit WorkerRegistry(SessionSettings settings, double processorShare = 1)
        : m_settings(settings)
        , m_processorShare(processorShare)
        , m_window(processorShare)
    {
    }

    // Removes all workers. Workers that are added later are called with the epoch; earlier owners may have sent
    // commands to them until `ownedSince`.
    void reset(Epoch epoch, absl::Time ownedSince);

    // Applies rows of the worker list; if they are complete, a worker without a row is not listed any more.
    void applyRecords(const CollectionUpdate& update, absl::Time now);

    // The session of the worker, which the caller may change; nullptr if the registry does not have the worker.
    WorkerSession* find(const WorkerName& worker);
    const absl::btree_map<WorkerName, WorkerSession>& sessions() const { return m_sessions; }
    // Whether every listed worker had replied to a poll with this epoch as of the last `advance`.
    bool hasEveryWorkerAnswered() const { return m_unanswered.empty(); }
    // The session of a worker on which an earlier owner has placed runs. Adds the worker, as not listed, if the
    // registry does not have it.
    WorkerSession& findOrAdd(const WorkerName& worker, std::int64_t processStartMs);

    // While this is off, no start is sent; starts that are due meanwhile are sent once it is on again.
    void setMayStart(bool mayStart);
    bool mayStart() const { return m_mayStart; }

    // Sets which data centres are being evacuated: their workers get no starts from now on. Drops and returns the runs
    // there whose start was not sent.
    std::vector<WorkerUpdate> setEvacuations(std::shared_ptr<const EvacuationSet> evacuations);
    const std::shared_ptr<const EvacuationSet>& evacuations() const { return m_evacuations; }
    // Sets until when the evacuations are known well enough to send starts.
    void setStartsUntil(absl::Time startsUntil) { m_startsUntil = startsUntil; }

    // Drops and returns the runs whose start was not sent.
    std::vector<WorkerUpdate> takeUnsentRuns();
    UnsentStarts unsentStarts() const;
    std::size_t pendingCallCount() const { return m_calls.size(); }
    // Whether the reply to a start is still to come.
    bool isStartPending() const;

    // Sets until when the node owns the workers, unless it renews its lease. Calls that are made from then on are not
    // sent later, even if the process is suspended before it sends them.
    void setOwnedUntil(absl::Time ownedUntil) { m_ownedUntil = ownedUntil; }

    // Sends the calls that are due. The cost grows with the number of workers that have a call due or were changed, not
    // with the number of all workers.
    void advance(const StartSource& source, Outbox& outbox, absl::Time now);
    // When `advance` has something to do next, as of its last call.
    absl::Time nextDue() const;
    // How many more runs may be placed, so that their starts are sent soon; negative if there are too many.
    std::int64_t startAllowance() const;

    // Whether the call is a pending call to a worker.
    bool ownsCall(CallId call) const { return m_calls.contains(call); }
    // Applies the reply to a pending call, or its failure.
    WorkerUpdate handleReply(CallId call, const WorkerReply& reply, absl::Time now);
    // The runs that have ended on workers that do not reply. Only workers that the next `advance` would examine are
    // considered.
    std::vector<WorkerUpdate> takeLapsedRuns(absl::Time now);

private:
    // A call that was sent and has not ended.
    struct PendingCall {
        WorkerName worker;
        std::string address;
        SessionCall context;
    };

    // Whether a row of the worker names a data centre that is being evacuated.
    bool isEvacuated(const WorkerSession& session) const;
    // Drops the runs of the session whose start was not sent, and adds them to the updates if there are any.
    void takeUnsentRunsOf(const WorkerName& worker, WorkerSession& session, std::vector<WorkerUpdate>& updates);
    void applyEntry(const WorkerEntry& entry, absl::Time reportedAfter, absl::Time now);
    // Tells the other workers at the address of the call that this worker has replied from there.
    void recordReplyAt(const PendingCall& pending);
    // Records that no row of the list names the worker.
    void applyMissingEntry(const Record& record, absl::Time now);
    void markChanged(const WorkerName& worker) { m_changed.insert(worker); }
    void markDueChanged(absl::Time now);
    // How long a worker may hold the next poll open.
    absl::Duration nextPollWait() const;
    void logStartSent(const WorkerSession& session, const SessionCall& context, Outbox& outbox) const;
    void logStartGivenUp(const WorkerSession& session, const SessionCall& context, Outbox& outbox) const;
    // Lets the workers send their starts that were left out, in order, as far as there is room.
    void sendWaitingStarts(const StartSource& source, Outbox& outbox, absl::Time now);
    // Sends the calls of a worker that are due, or removes a worker that is gone.
    void examine(
        const WorkerName& worker, std::size_t startRoom, const StartSource& source, Outbox& outbox, absl::Time now);
    void makeCalls(const WorkerName& worker, WorkerSession& session, std::size_t startRoom, const StartSource& source,
        Outbox& outbox, absl::Time now);
    void recordCallSent(CallId call, const PendingCall& pending, bool isInitial, absl::Time now);
    void recordCallEnd(CallId call, const PendingCall& pending, bool hasReply, absl::Time now);

    const SessionSettings m_settings;
    const double m_processorShare;
    CommandWindow m_window;
    // Workers with a start that was left out for lack of room, in the order in which they are served.
    std::deque<WorkerName> m_startQueue;
    absl::btree_set<WorkerName> m_isInStartQueue;
    Epoch m_epoch = 0;
    absl::Time m_ownedSince = absl::InfinitePast();
    absl::Time m_ownedUntil = absl::InfinitePast();
    absl::Time m_startsUntil = absl::InfiniteFuture();
    absl::btree_map<WorkerName, WorkerSession> m_sessions;
    // Null until the evacuations are known.
    std::shared_ptr<const EvacuationSet> m_evacuations;
    AddressIndex m_addresses;
    absl::flat_hash_map<CallId, PendingCall> m_calls;
    // The number of polls among the pending calls.
    int m_pendingPolls = 0;
    bool m_mayStart = true;
    // Workers that were examined while no start could be sent.
    absl::btree_set<WorkerName> m_startsHeld;
    // Workers that the next `advance` examines.
    absl::btree_set<WorkerName> m_changed;
    // When each worker has a call due.
    DueIndex<WorkerName> m_due;
    // Listed workers that have not replied with this epoch.
    absl::btree_set<WorkerName> m_unanswered;
    // Limits the initial polls: those of workers that have not replied with this epoch.
    InitialPollQueue m_initialPolls;
};

} // namespace mangohall::batch
