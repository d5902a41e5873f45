#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "batch/desk/record_writer_base.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"

namespace mangohall::batch {

// Serves callers: checks a call against the manifest, makes submissions and cancellations durable, and reads what
// became of jobs from the store. Needs no owner to be alive.
class DeskPart : public NodePart {
public:
    explicit DeskPart(const NodeSettings& settings);

    Effects handle(const Event& event, absl::Time now) override;

private:
    // A call that waits for the store.
    struct OpenCall {
        enum class Stage {
            Submitting,
            Cancelling,
            ReadingCancelled,
            ReadingProgress,
            ReadingJob,
            ReadingCounts,
        };
        Stage stage = Stage::Submitting;
        CallerId caller = 0;
        JobId job;
        QueueName queue;
        OrganisationName organisation;
        absl::Time takenAt;
        // Until when the store is asked again.
        absl::Time deadline;
        int tries = 0;
        absl::Time retryAt = absl::InfiniteFuture();
    };

    void takeCaller(const CallerEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Status checkRoutes(const CallerRequest& request, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Status checkKey(const CallerRequest& request, const QueueSpec& queue, OrganisationName& organisation) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void submit(OpenCall call, const CallerRequest& request, const QueueSpec& queue, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void cancel(OpenCall call, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void read(OpenCall call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeReading(OpenCall call, const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeFailedReading(OpenCall call, const absl::Status& status, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeCreated(const CreateResult& result, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void retryReadings(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answer(const OpenCall& call, const CallerAnswer& answer, absl::string_view outcome, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void refuse(const OpenCall& call, const absl::Status& status, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings m_settings;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    absl::Time m_routesConfirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    RecordWriter m_writer ABSL_GUARDED_BY(m_mutex);
    // By caller: those whose record is being written.
    absl::flat_hash_map<CallerId, OpenCall> m_writing ABSL_GUARDED_BY(m_mutex);
    // By call to the store: those that wait for a reading.
    absl::flat_hash_map<CallId, OpenCall> m_reading ABSL_GUARDED_BY(m_mutex);
    // Those whose reading failed and is to be repeated.
    std::vector<OpenCall> m_toRepeat ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall::batch
