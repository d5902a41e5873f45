#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "batch/node/outbox_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// One record that is to be created unless it is there.
struct CreateRecord {
    CallerId caller = 0;
    RecordKey key;
    RecordValue value;
    // Until when it is tried.
    absl::Time deadline;
};

struct CreateResult {
    enum class Outcome {
        Created,
        Existed,
        // Certainly not written, now or later.
        NotWritten,
        // May have been written, or may still be.
        Unknown,
    };
    CallerId caller = 0;
    RecordKey key;
    Outcome outcome = Outcome::Created;
};

// Creates records that never change, many in one commit. An answer that is lost is settled by trying again: the second
// try meets the record. Not safe to call from several threads.
class RecordWriter {
public:
    void add(CreateRecord record);

    // Starts commits. Returns the records that are given up.
    std::vector<CreateResult> advance(Outbox& outbox, absl::Time now);
    absl::Time nextDue() const;

    bool isMine(CallId call) const { return m_commits.contains(call); }
    std::vector<CreateResult> takeReply(CallId call, const StoreReply& reply, absl::Time now);

private:
    struct Item {
        CreateRecord record;
        bool isUncertain = false;
        int refusals = 0;
        absl::Time retryAt = absl::InfinitePast();
    };

    std::vector<CreateResult> giveUpLate(absl::Time now);
    std::vector<Item> takeBatch(absl::Time now);
    void commit(std::vector<Item>&& batch, Outbox& outbox);
    std::vector<CreateResult> takeConflict(std::vector<Item> batch, const StoreReply& reply);
    std::vector<CreateResult> takeRefusal(std::vector<Item> batch, absl::Time now);
    void takeLostAnswer(std::vector<Item> batch, absl::Time now);

    std::vector<Item> m_waiting;
    absl::flat_hash_map<CallId, std::vector<Item>> m_commits;
};

} // namespace mangohall::batch
