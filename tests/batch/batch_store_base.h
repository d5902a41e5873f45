// The store within one process, on the paused clock, with faults.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "batch/store/record_type.h"
#include "cluster/timeline_base.h"
#include "core/error_func.h"
#include "core/seeded_random_base.h"

namespace mangohall::batch {

class BatchStore {
public:
    using Reply = std::function<void(const StoreReply&)>;

    BatchStore(Timeline& timeline, RandomSource& random)
        : m_timeline(timeline)
        , m_random(random)
    {
    }

    // Serves a request of a node; replies once, or with an unknown outcome when the timeout has passed.
    void request(const std::string& node, const StoreRequest& request, absl::Duration timeout, Reply reply);

    // Writes as operators and workers do.
    void put(const RecordKey& key, RecordValue value);
    void remove(const RecordKey& key);

    // While it is out every call is refused, or not answered at all; leases pause.
    void setOut(bool isOut, bool isSilent = false);
    // The node alone is refused.
    void refuseNode(const std::string& node, bool isRefused);
    // The share of commits that are carried out and not answered.
    void setLostAnswers(double share) { m_lostAnswers = share; }
    // The share of commits that are not answered, and carried out seconds later if they still hold.
    void setLateCommits(double share) { m_lateCommits = share; }
    void setDelay(absl::Duration delay) { m_delay = delay; }
    // Takes every commit, whatever it expects. No store may do so.
    void setAcceptsStale(bool acceptsStale) { m_acceptsStale = acceptsStale; }
    // Forgets the history: watches behind it are told so.
    void compact() { m_compactedAt = m_revision; }
    // The next commit with a write to the collection is carried out, and then the action runs before its answer.
    void afterNextCommit(Collection collection, std::function<void()> action);

    const Record* find(const RecordKey& key) const;
    std::vector<Record> list(Collection collection) const;
    int commitCount() const { return m_commits; }

private:
    struct Lease {
        absl::Duration timeToLive;
        absl::Time until;
    };

    struct Watch {
        Collection collection = Collection::Manifest;
        Revision after = 0;
        Reply reply;
        bool isOver = false;
    };

    StoreReply serve(const StoreRequest& request);
    StoreReply commit(const CommitRecords& request);
    void startWatch(const WatchCollection& request, const Reply& reply);
    void tellWatches();
    std::vector<Record> changesAfter(Collection collection, Revision after) const;
    void change(const RecordKey& key, RecordValue value, std::int64_t lease);
    void extend(Lease& lease);
    void lapseLeases();
    StoreReply failure(ErrorKind kind) const;

    Timeline& m_timeline;
    RandomSource& m_random;
    absl::Duration m_delay = absl::Milliseconds(4);
    bool m_isOut = false;
    bool m_isSilent = false;
    std::set<std::string> m_refused;
    double m_lostAnswers = 0;
    double m_lateCommits = 0;
    bool m_acceptsStale = false;
    Revision m_revision = 1;
    Revision m_compactedAt = 0;
    int m_commits = 0;
    std::int64_t m_lastLease = 0;
    std::map<RecordKey, Record> m_records;
    std::map<RecordKey, std::int64_t> m_leaseOf;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Record> m_history;
    std::vector<std::shared_ptr<Watch>> m_watches;
    Collection m_hookCollection = Collection::Manifest;
    std::function<void()> m_hook;
};

} // namespace mangohall::batch
