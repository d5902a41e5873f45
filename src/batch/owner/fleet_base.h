#pragma once

#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "batch/fleet/worker_session_base.h"
#include "batch/node/outbox_base.h"
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

    WorkerSession* find(const WorkerName& worker);
    absl::btree_map<WorkerName, WorkerSession>& sessions() { return m_sessions; }
    // Whether every worker that is listed has answered under this epoch.
    bool isSettled() const;
    // The session of a worker that may not be listed any more, where an earlier owner has placed runs.
    WorkerSession& findOrRemember(const WorkerName& worker, std::int64_t bornMs);

    // Makes the calls that are due.
    void advance(const StartSource& source, Outbox& outbox, absl::Time now);
    absl::Time nextDue(absl::Time now) const;

    bool isMine(CallId call) const { return m_calls.contains(call); }
    FleetNews takeReply(CallId call, const WorkerReply& reply, absl::Time now);
    std::vector<FleetNews> takeLapsed(absl::Time now);

private:
    struct OpenCall {
        WorkerName worker;
        SessionCall about;
    };

    std::vector<EndedRun> takeEntry(const WorkerEntry& entry, absl::Time now);

    const SessionSettings m_settings;
    Epoch m_epoch = 0;
    absl::btree_map<WorkerName, WorkerSession> m_sessions;
    absl::flat_hash_map<CallId, OpenCall> m_calls;
};

} // namespace mangohall::batch
