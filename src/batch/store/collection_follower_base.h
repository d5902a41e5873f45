#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "batch/node/outbox_base.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// The result of one call to the store for a collection.
struct CollectionUpdate {
    // The records are the whole collection, or with those of the pages before: any other record is absent.
    bool isComplete = false;
    std::vector<Record> records;
    // Records that are changes were written after this time; the infinite past for a whole collection.
    absl::Time changedAfter = absl::InfinitePast();
    // The store replied: the state of the collection is known up to `CollectionFollower::confirmedAt`.
    bool isConfirmed = false;
    // The store gave no reply, or refused the call.
    bool isFailed = false;
};

// Follows one collection: reads all of it, then watches for changes, and reads all of it again when the store no longer
// has the history. Not safe to call from several threads.
class CollectionFollower {
public:
    // How the whole collection is read: by one call with one update, or page by page, with an update for each page. A
    // collection that may exceed the node's memory has to be read in pages.
    enum class ReadMode {
        Whole,
        Pages,
    };

    // Each watch waits up to `wait` for changes. After a reply with changes the next watch begins `pause` later, so
    // that one call returns all changes made in the meantime.
    CollectionFollower(Collection collection, absl::Duration wait, absl::Duration pause = absl::ZeroDuration(),
        ReadMode mode = ReadMode::Whole)
        : m_collection(collection)
        , m_wait(wait)
        , m_pause(pause)
        , m_mode(mode)
    {
    }

    // Restarts the follower from a full read that was made elsewhere at the revision.
    void startAfter(Revision revision, absl::Time now);

    // Calls the store if no call is pending and one is due.
    void advance(Outbox& outbox, absl::Time now);
    // When to call `advance` next.
    absl::Time nextDue() const;

    // Whether the call is the follower's pending call.
    bool ownsCall(CallId call) const { return call != 0 && call == m_call; }
    // Applies the reply to the pending call, or its failure. An expired watch gives an empty result.
    CollectionUpdate handleReply(const StoreReply& reply, absl::Time now);

    // The time up to which all changes have been received.
    absl::Time confirmedAt() const { return m_confirmedAt; }
    // Abandons the pending call and the state: the next `advance` reads the whole collection.
    void stop();

private:
    CollectionUpdate applyFullRead(const StoreReply& reply);
    CollectionUpdate applyChanges(const StoreReply& reply, absl::Time now);
    void recordFailure(absl::Time now);

    const Collection m_collection;
    const absl::Duration m_wait;
    const absl::Duration m_pause;
    const ReadMode m_mode;
    // The pending call; 0 if there is none.
    CallId m_call = 0;
    bool m_isReadingAll = false;
    bool m_hasRevision = false;
    // Where the next page begins; empty for the first one.
    std::string m_nextPage;
    // When the first page was requested.
    absl::Time m_readSince = absl::InfinitePast();
    // The revision after which the next watch begins, if `m_hasRevision`.
    Revision m_readRevision = 0;
    // When the last call was sent, and when the next one may be sent.
    absl::Time m_sentAt = absl::InfinitePast();
    absl::Time m_retryAt = absl::InfinitePast();
    absl::Time m_confirmedAt = absl::InfinitePast();
    // Failed calls since the last reply.
    int m_failures = 0;
};

} // namespace mangohall::batch
