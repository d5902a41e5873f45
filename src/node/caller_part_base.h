// A part of an entry that serves the requests of callers about jobs.
#pragma once

#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "core/seeded_random_base.h"
#include "node/node_factory_func.h"
#include "node/node_part_base.h"
#include "node/outbox_base.h"

namespace mangohall {

// Sends each caller's request to the owner of the job's home shard, repeats it until it is answered, and answers the
// caller exactly once. No other component repeats callers' requests. A status carries the name of the request that it
// answers, so that no caller gets the answer to another caller's request.
class CallerPart : public NodePart {
public:
    CallerPart(const NodeSettings& settings, PartIndex index, std::size_t partCount, std::uint64_t seed);

    Effects handle(const Event& event, absl::Time now) override;

private:
    enum class RequestKind {
        Submit,
        Query,
        Cancel,
    };

    // A caller that waits for an answer, and the progress of its request.
    struct WaitingCaller {
        CallerId caller = 0;
        RequestKind kind = RequestKind::Query;
        JobKey key;
        // The submitted job; used only by a submission.
        JobSpec spec;
        // The end of the wait that the caller asked for.
        absl::Time until;
        // When the request fails if the home shard has not answered at all.
        absl::Time giveUpAt;
        // When the request is sent again.
        absl::Time sendAt;
        // How often the request has been sent; sets the delay before it is sent again.
        int sendCount = 0;
        // The home shard has answered with a status.
        bool isAcknowledged = false;
        // The latest status; valid once the request is acknowledged.
        JobStatus latest;
    };

    void handleEvent(const Event& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleRequest(const CallerEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Tests whether the request may be sent on. Errors: Draining, TooManyConnections, PermissionDenied, InvalidValue,
    // StoreUnavailable, UnknownOrganisation, UnknownService.
    absl::Status testRequest(const CallerEvent& event, const WaitingCaller& waiting) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleStatus(const JobStatus& status, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sends the request to the home shard and schedules its repetition.
    void send(const std::string& request, WaitingCaller& waiting, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void wake(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Answers a caller whose wait has ended, with the latest status or with OwnerUnreachable.
    void answerTimedOut(const WaitingCaller& waiting) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void refuse(CallerId caller, ErrorKind kind, absl::string_view message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Notifies part 0, once, that no caller waits any more while the node is draining.
    void reportDrained() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextWake() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const Member m_self;
    const PartIndex m_index;
    // The maximum number of callers that wait in this part.
    const std::size_t m_maxWaiting;
    // The prefix of request names; distinguishes this process and part from all others and from earlier runs.
    const std::string m_requestPrefix;
    absl::Mutex m_mutex;
    SeededRandom m_random ABSL_GUARDED_BY(m_mutex);
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    Effects m_effects ABSL_GUARDED_BY(m_mutex);
    DirectorySnapshot m_directory ABSL_GUARDED_BY(m_mutex);
    // The number of the latest request name.
    std::uint64_t m_lastRequest ABSL_GUARDED_BY(m_mutex) = 0;
    // The waiting callers by request name.
    absl::btree_map<std::string, WaitingCaller> m_waiting ABSL_GUARDED_BY(m_mutex);
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrainReported ABSL_GUARDED_BY(m_mutex) = false;
    // The wake-up time last requested from the runtime.
    absl::Time m_requestedWake ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
};

} // namespace mangohall
