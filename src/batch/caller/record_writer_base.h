#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "absl/types/span.h"
#include "batch/node/outbox_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// A record to create unless one with the same key exists.
struct CreateRecord {
    // The caller that waits for the result.
    CallerId caller = 0;
    RecordKey key;
    RecordValue value;
    // The writer gives up at this time.
    absl::Time deadline;
    // For a job: what it takes at the owner (`jobFootprint`), and whether it is urgent and of an organisation with a
    // guarantee. 0 for a record that no limit on submissions applies to.
    std::int64_t footprint = 0;
    bool isGuaranteed = false;
};

// The result of creating a record.
struct CreateResult {
    enum class Outcome {
        Created,
        // A record with this key existed before, possibly written by an earlier attempt whose reply was lost.
        Existed,
        // The record has not been written and will not be.
        NotWritten,
        // The same, because the owner has too little memory left for the job.
        NoRoom,
        // The record may have been written, or may still be written.
        Unknown,
    };
    CallerId caller = 0;
    RecordKey key;
    Outcome outcome = Outcome::Created;
};

// Creates immutable records, many in one commit. After a lost reply the record is written again: if the first commit
// has succeeded, the second one finds the record. Not thread-safe.
class RecordWriter {
public:
    void add(CreateRecord record);

    // Starts commits for the records that are due. Returns the results of the records whose deadline has passed.
    std::vector<CreateResult> advance(Outbox& outbox, absl::Time now);
    // The time at which `advance` has to be called next; the infinite future if no record is pending.
    absl::Time nextDue() const;

    // Whether the store has said within a second that a job like this would not be admitted.
    bool isKnownToLackRoom(std::int64_t footprint, bool isGuaranteed, absl::Time now) const;

    // Whether the call is one of this writer's open commits.
    bool ownsCall(CallId call) const { return m_openCommits.contains(call); }
    // Handles the store's reply to an open commit. Returns the results that it settles; the other records of the commit
    // are tried again.
    std::vector<CreateResult> handleReply(CallId call, const StoreReply& reply, absl::Time now);

private:
    struct PendingRecord {
        CreateRecord record;
        // The reply to an earlier commit was lost, so the record may already be written.
        bool isUncertain = false;
        // The number of commits that the store has refused.
        int refusals = 0;
        // The store has refused a commit with the record as invalid.
        bool isWrittenAlone = false;
        absl::Time retryAt = absl::InfinitePast();
    };

    // Removes the pending records whose deadline has passed, and returns their results.
    std::vector<CreateResult> removeExpired(absl::Time now);
    // Removes the records of the next commit from the pending records. A batch has each key at most once.
    std::vector<PendingRecord> takeBatch(absl::Time now);
    // Whether the job is admitted by the limit that is known.
    bool isAdmitted(const CreateRecord& record) const;
    // Starts a commit of the records.
    void commit(std::vector<PendingRecord>&& batch, Outbox& outbox);
    // Learns the limit on submissions from a reply that contains it.
    void learnAdmission(absl::Span<const Record> records, absl::Time now);
    // The handle functions return the results that are settled, and make the other records of the batch pending again.
    std::vector<CreateResult> handleConflict(std::vector<PendingRecord> batch, const StoreReply& reply, absl::Time now);
    std::vector<CreateResult> handleRefusal(std::vector<PendingRecord> batch, absl::Time now);
    void handleLostReply(std::vector<PendingRecord> batch, absl::Time now);

    // The records that no open commit contains, in the order in which they are written.
    std::vector<PendingRecord> m_pending;
    // The records of each open commit, by its call to the store.
    absl::flat_hash_map<CallId, std::vector<PendingRecord>> m_openCommits;
    // The limit on submissions as it was last read, with its revision, and when.
    absl::optional<AdmissionLimit> m_admission;
    Revision m_admissionRevision = 0;
    absl::Time m_admissionReadAt = absl::InfinitePast();
};

} // namespace mangohall::batch
