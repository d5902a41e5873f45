// The platform's store simulated in one process on the simulated clock, with fault injection.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"
#include "node/store_message_type.h"

namespace mangohall {

// Keeps keys under revisions and leases, as the platform's store does, and serves watches.
class FakeStore {
public:
    using Reply = std::function<void(const StoreReply&)>;

    FakeStore(Timeline& timeline, RandomSource& random)
        : m_timeline(timeline)
        , m_random(random)
    {
    }

    // Serves a client's request. A watch replies for each change until the client is closed.
    void request(const std::string& client, const StoreRequest& request, const Reply& reply);
    // Ends the client's watches without a last reply.
    void closeClient(const std::string& client);

    // While the store is unavailable, no request takes effect and each gets an error. Open watches
    // end with an error. Leases still expire.
    void setUnavailable(bool isUnavailable);
    // Sets the fraction of writes whose answer is lost after they have taken effect.
    void setLostAnswers(double share) { m_lostAnswers = share; }
    // Keeps the client's watches open, but sends no more changes on them.
    void silenceWatches(const std::string& client);
    // Accepts every write whatever revision it expects, which violates the contract of the store.
    void setAcceptsStaleWrites(bool acceptsStale) { m_acceptsStaleWrites = acceptsStale; }
    void setDelay(absl::Duration delay) { m_delay = delay; }

    // Returns the entry of a key, null if there is none. For test oracles, not for nodes.
    const StoreEntry* find(const std::string& key) const;
    std::vector<StoreEntry> list(const std::string& prefix) const;
    std::int64_t writeCount() const { return m_writes; }
    std::int64_t callCount() const { return m_calls; }
    Revision revision() const { return m_revision; }

private:
    struct Watcher {
        std::string client;
        std::string prefix;
        Reply reply;
        bool isSilent = false;
    };

    struct Lease {
        absl::Duration timeToLive;
        absl::Time until;
    };

    StoreReply serve(const StoreRequest& request);
    StoreReply compareAndSwap(const StoreCompareAndSwap& request);
    StoreReply keepAlive(std::int64_t id);
    void openWatch(const std::string& client, const StoreWatch& watch, Reply reply);
    void change(const std::string& key, const StoreValue& value, std::int64_t lease);
    // Sends the changed entry to all watchers of its key.
    void notifyWatchers(const StoreEntry& entry);
    // Deletes the keys of every lease whose time has passed.
    void expireLeases();
    void removeLease(std::int64_t id);

    Timeline& m_timeline;
    RandomSource& m_random;
    absl::Duration m_delay = absl::Milliseconds(2);
    bool m_isUnavailable = false;
    bool m_acceptsStaleWrites = false;
    double m_lostAnswers = 0;
    // An empty store is at revision 1.
    Revision m_revision = 1;
    std::int64_t m_lastLease = 0;
    std::int64_t m_writes = 0;
    std::int64_t m_calls = 0;
    std::map<std::string, StoreEntry> m_entries;
    std::map<std::string, std::int64_t> m_leaseOfKey;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<StoreEntry> m_history;
    std::vector<Watcher> m_watchers;
};

} // namespace mangohall
