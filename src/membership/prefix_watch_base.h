// Follows every change of the store keys with a prefix.
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "node/outbox_base.h"
#include "ports/random_port.h"

namespace mangohall {

// Changes of the keys with a prefix.
struct PrefixChange {
    // The entries are the complete list; keys that are missing from it do not exist.
    bool isWhole = false;
    // The store revision that the change leads to.
    Revision revision = 0;
    std::vector<StoreEntry> entries;
};

// Lists the keys with the prefix, then watches for changes after the revision of the list. A watch that breaks is
// resumed from the last revision received; one whose revision has been compacted away starts over with a list. While
// the store is unavailable, calls are repeated with full jitter, so that not all nodes call at once when it returns.
class PrefixWatch {
public:
    PrefixWatch(std::string prefix, RandomSource& random, Outbox& outbox);

    void start();
    // Lists the keys again, for instance because a peer has reported a later revision.
    void refresh();

    // Whether the watch made the store call.
    bool ownsCall(CallId call) const { return call != 0 && (call == m_listCall || call == m_watchCall); }
    // Handles the reply to a store call of the watch. Returns the changes that it contains; nothing after an error or
    // if the reply is older than one received before.
    absl::optional<PrefixChange> handleStoreReply(CallId call, const StoreReply& reply, absl::Time now);

    // Repeats a failed call if it is due.
    void wake(absl::Time now);
    // When `wake` has to be called next; infinite if nothing is due.
    absl::Time nextWake() const { return m_retryAt; }
    // Whether the keys have been listed at least once.
    bool isLoaded() const { return m_revision > 0; }
    // The newest store revision received; 0 before the first list.
    Revision revision() const { return m_revision; }

private:
    void list();
    void watch();
    void retryLater(absl::Time now);

    const std::string m_prefix;
    RandomSource& m_random;
    Outbox& m_outbox;
    Revision m_revision = 0;
    // The pending list call and the open watch; 0 if there is none.
    CallId m_listCall = 0;
    CallId m_watchCall = 0;
    // The next retry has to list the keys, since a watch cannot be resumed.
    bool m_isListDue = true;
    // Consecutive failed calls.
    int m_failures = 0;
    absl::Time m_retryAt = absl::InfiniteFuture();
};

} // namespace mangohall
