// A simulated store on the simulated clock, with faults.
#pragma once

#include <functional>
#include <limits>
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

// The simulated store of a test.
class BatchStore {
public:
    using Reply = std::function<void(const StoreReply&)>;

    BatchStore(Timeline& timeline, RandomSource& random)
        : m_timeline(timeline)
        , m_random(random)
    {
    }

    // Serves a request of a node; replies once, at the latest with an unknown outcome after the timeout.
    void request(const std::string& node, const StoreRequest& request, absl::Duration timeout, Reply reply);

    // Write a record as operators and workers do, without expectations.
    void put(const RecordKey& key, RecordValue value);
    void remove(const RecordKey& key);

    // While the store is out it refuses every call, or does not reply at all if it is silent; leases do not expire.
    void setOut(bool isOut, bool isSilent = false);
    // Refuses every call of one node.
    void refuseNode(const std::string& node, bool isRefused);
    // Sets the share of commits that are executed but get no reply.
    void setLostAnswers(double share) { m_lostAnswers = share; }
    // Sets the share of commits that get no reply and are executed seconds later if their expectations still hold.
    void setLateCommits(double share) { m_lateCommits = share; }
    void setDelay(absl::Duration delay) { m_delay = delay; }
    // Refuses commits with a value of more bytes, in the encoding of the platform's records.
    void setMaxValueBytes(std::size_t bytes) { m_maxValueBytes = bytes; }
    // The number of commits that were refused for a value that is too large.
    int oversizedCommitCount() const { return m_oversizedCommits; }
    // Delays the replies to watches of one collection, as for a node that is behind with its connections.
    void setWatchDelay(Collection collection, absl::Duration delay) { m_watchDelays[collection] = delay; }
    // Accepts every commit, whatever it expects, which no real store may do.
    void setAcceptsStale(bool acceptsStale) { m_acceptsStale = acceptsStale; }
    // Drops the history: watches after an earlier revision expire.
    void compact() { m_compactedAt = m_revision; }
    // Runs the action once, after the next commit with a write to the collection and before the reply to it.
    void afterNextCommit(Collection collection, std::function<void()> action);

    // The record; nullptr if it is absent.
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
    void addPage(const ReadPage& page, StoreReply& reply) const;
    StoreReply commit(const CommitRecords& request);
    bool hasOversizedValue(const CommitRecords& request) const;
    void startWatch(const WatchCollection& request, const Reply& reply);
    void notifyWatches();
    std::vector<Record> changesAfter(Collection collection, Revision after) const;
    void change(const RecordKey& key, RecordValue value, std::int64_t lease);
    void extend(Lease& lease);
    void expireLeases();
    StoreReply failure(ErrorKind kind) const;

    Timeline& m_timeline;
    RandomSource& m_random;
    absl::Duration m_delay = absl::Milliseconds(4);
    std::map<Collection, absl::Duration> m_watchDelays;
    bool m_isOut = false;
    bool m_isSilent = false;
    std::set<std::string> m_refused;
    double m_lostAnswers = 0;
    double m_lateCommits = 0;
    bool m_acceptsStale = false;
    std::size_t m_maxValueBytes = std::numeric_limits<std::size_t>::max();
    int m_oversizedCommits = 0;
    Revision m_revision = 1;
    Revision m_compactedAt = 0;
    int m_commits = 0;
    std::int64_t m_lastLease = 0;
    std::map<RecordKey, Record> m_records;
    std::map<RecordKey, std::int64_t> m_leaseOf;
    std::map<std::int64_t, Lease> m_leases;
    std::vector<Record> m_history;
    std::vector<std::shared_ptr<Watch>> m_watches;
    Collection m_afterCommitCollection = Collection::Manifest;
    std::function<void()> m_afterCommit;
};

} // namespace mangohall::batch
