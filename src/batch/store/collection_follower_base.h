#pragma once

#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/node/outbox_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// What has changed in a collection.
struct CollectionNews {
    // A whole reading: what is not in it is absent.
    bool isWhole = false;
    std::vector<Record> records;
    // The store has answered: the collection was known up to this time.
    bool isConfirmed = false;
    // The store has failed to answer, or has refused.
    bool isFailed = false;
};

// Keeps reading one collection: first all of it, then its changes; all of it again when the history is gone. Not safe
// to call from several threads.
class CollectionFollower {
public:
    // Every watch waits for `wait`. After changes the next one begins `pause` later, so that the changes of that time
    // cost one call.
    CollectionFollower(Collection collection, absl::Duration wait, absl::Duration pause = absl::ZeroDuration())
        : m_collection(collection)
        , m_wait(wait)
        , m_pause(pause)
    {
    }

    // Starts anew from a whole reading that was made at the revision.
    void startAfter(Revision revision, absl::Time now);

    // Calls the store if no call is out and it is time.
    void advance(Outbox& outbox, absl::Time now);
    // When to call `advance` next.
    absl::Time nextDue() const;

    // Whether the reply is one to this follower's call.
    bool isMine(CallId call) const { return call != 0 && call == m_call; }
    CollectionNews takeReply(const StoreReply& reply, absl::Time now);

    // No newer change existed at this time.
    absl::Time confirmedAt() const { return m_confirmedAt; }
    void stop();

private:
    CollectionNews takeList(const StoreReply& reply);
    CollectionNews takeChanges(const StoreReply& reply, absl::Time now);
    void noteFailure(absl::Time now);

    const Collection m_collection;
    const absl::Duration m_wait;
    const absl::Duration m_pause;
    CallId m_call = 0;
    bool m_isListing = false;
    bool m_hasRevision = false;
    Revision m_revision = 0;
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_confirmedAt = absl::InfinitePast();
    int m_failures = 0;
};

} // namespace mangohall::batch
