#pragma once

#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "batch/fleet/worker_session_base.h"
#include "batch/node/outbox_base.h"
#include "batch/owner/due_index_base.h"
#include "batch/owner/first_look_queue_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// What one worker's reply or silence has told.
struct FleetNews {
    WorkerName worker;
    std::int64_t bornMs = 0;
    SessionNews session;
};

// Fills in what a start carries.
class StartSource {
public:
    virtual ~StartSource() = default;
    virtual StartRun describeStart(const RunKey& run) const = 0;
};

// The workers that the owner knows, each with its session. Not safe to call from several threads.
class Fleet {
public:
    explicit Fleet(SessionSettings settings)
        : m_settings(settings)
    {
    }

    // Forgets all workers; those that come are met under the epoch.
    void reset(Epoch epoch);

    // Takes rows of the worker list. Returns what ended with processes that are gone.
    std::vector<FleetNews> takeRecords(absl::Span<const Record> records, bool isWhole, absl::Time now);

    // The worker's session, to be changed, or nothing.
    WorkerSession* find(const WorkerName& worker);
    const absl::btree_map<WorkerName, WorkerSession>& sessions() const { return m_sessions; }
    // Whether every worker that is listed had answered under this epoch as of the last `advance`.
    bool isSettled() const { return m_unsettled.empty(); }
    // The session of a worker that may not be listed any more, where an earlier owner has placed runs.
    WorkerSession& findOrRemember(const WorkerName& worker, std::int64_t bornMs);

    // Makes the calls that are due. Takes time for the workers that have something due or were changed, not for others.
    void advance(const StartSource& source, Outbox& outbox, absl::Time now);
    // As of the last `advance`.
    absl::Time nextDue() const { return m_due.next(); }

    bool isMine(CallId call) const { return m_calls.contains(call); }
    FleetNews takeReply(CallId call, const WorkerReply& reply, absl::Time now);
    // What has ended on workers that do not answer, as far as `advance` would look at them now.
    std::vector<FleetNews> takeLapsed(absl::Time now);

private:
    struct OpenCall {
        WorkerName worker;
        SessionCall about;
    };

    std::vector<EndedRun> takeEntry(const WorkerEntry& entry, absl::Time now);
    void noteChange(const WorkerName& worker) { m_changed.insert(worker); }
    void collectDue(absl::Time now);
    void makeCalls(
        const WorkerName& worker, WorkerSession& session, const StartSource& source, Outbox& outbox, absl::Time now);

    const SessionSettings m_settings;
    Epoch m_epoch = 0;
    absl::btree_map<WorkerName, WorkerSession> m_sessions;
    absl::flat_hash_map<CallId, OpenCall> m_calls;
    // Workers that the next `advance` looks at.
    absl::btree_set<WorkerName> m_changed;
    DueIndex<WorkerName> m_due;
    absl::btree_set<WorkerName> m_unsettled;
    // Of workers that have not answered under this epoch.
    FirstLookQueue m_firstLooks;
};

} // namespace mangohall::batch
