#pragma once

#include <deque>
#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "batch/caller/record_writer_base.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"

namespace mangohall::batch {

// Handles the requests of callers: checks each request against the manifest, writes submissions and cancellations to
// the store, and reads the state of jobs from the store. Works without a live owner.
class CallerPart : public NodePart {
public:
    explicit CallerPart(const NodeSettings& settings);

    Effects handle(const Event& event, absl::Time now) override;

private:
    // A request that waits for the store.
    struct OpenCall {
        enum class Stage {
            // The job is being written.
            Submitting,
            // The owner has no room for the job, which is being read to find out whether it was accepted before.
            ReadingRefusedJob,
            // The cancellation is being written.
            Cancelling,
            // The cancellation is written. The job is being read, to find out whether it exists.
            ReadingCancelledJob,
            // The job's progress is being read.
            ReadingProgress,
            // The job has no progress yet. The job itself is being read, to find out whether it exists.
            ReadingJob,
            // The numbers of waiting jobs are being read.
            ReadingCounts,
        };
        Stage stage = Stage::Submitting;
        CallerId caller = 0;
        JobId job;
        QueueName queue;
        // The organisation of the API key; empty without a known key.
        OrganisationName organisation;
        absl::Time receivedAt;
        // The store is not asked again after this time.
        absl::Time deadline;
        // The number of reads that have been started.
        int readAttempts = 0;
        // The time of the next read after one that failed; the infinite future while a read is open.
        absl::Time retryAt = absl::InfiniteFuture();
    };

    // Refuses an invalid request, and starts a write or a read for any other.
    void handleCallerRequest(const CallerEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Returns ManifestStale without a recent manifest, and NotFound if no queue matches the request.
    absl::Status checkRoutes(const CallerRequest& request, absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sets the organisation that the API key belongs to. Returns Unauthenticated if the key is unknown and the queue is
    // not public.
    absl::Status checkApiKey(const CallerRequest& request, const QueueSpec& queue, OrganisationName& organisation) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Adds the job to the records to create, or refuses a job that could not be parsed.
    void submit(OpenCall call, const CallerRequest& request, const QueueSpec& queue, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Whether a submission of this job is being written.
    bool isBeingWritten(const JobId& job) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Adds the cancellation to the records to create, whether or not the job exists.
    void cancel(OpenCall call, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Starts the read that the stage of the call requires, or lets it wait for another one to end.
    void read(OpenCall call) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void handleStoreReply(const StoreEvent& event, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Answers the caller, or starts the next read if the record is absent.
    void handleReadReply(OpenCall call, const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Schedules another read, or refuses the request if its attempts or its time are used up.
    void handleReadFailure(OpenCall call, const absl::Status& status, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Answers the caller of a submission, or reads the job of a cancellation.
    void handleCreateResult(const CreateResult& result, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Starts the reads whose retry time has come.
    void retryReads(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Starts reads that wait for others to end, and refuses those whose time is over.
    void startWaitingReads(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs the request as a decision and answers the caller.
    void answer(const OpenCall& call, const CallerAnswer& answer, absl::string_view outcome, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Answers the caller with the error.
    void refuse(const OpenCall& call, const absl::Status& status, absl::Time now)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // The time at which the part has to be woken.
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings m_settings;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    // Null until a manifest has been read.
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    // The manifest was known to be the latest at this time.
    absl::Time m_routesConfirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    RecordWriter m_writer ABSL_GUARDED_BY(m_mutex);
    // Requests whose record is being written, by caller.
    absl::flat_hash_map<CallerId, OpenCall> m_openWrites ABSL_GUARDED_BY(m_mutex);
    // Requests that wait for a read, by the read's call to the store.
    absl::flat_hash_map<CallId, OpenCall> m_openReads ABSL_GUARDED_BY(m_mutex);
    // Requests whose read has not begun, as others are open; the one that waits longest first.
    std::deque<OpenCall> m_waitingReads ABSL_GUARDED_BY(m_mutex);
    // Requests whose read has failed and will be repeated.
    std::vector<OpenCall> m_readsToRetry ABSL_GUARDED_BY(m_mutex);
};

} // namespace mangohall::batch
