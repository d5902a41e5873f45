// Checks that no owner waits too long for runs that are over.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "batch/batch_cluster_base.h"

namespace mangohall::batch {

// Compares the placed tasks of unfinished jobs, as the store shows them, with what the workers run. A run that no
// worker executes holds up its job until its owner has settled it, which takes a bounded time while one node is the
// owner.
class UnsettledRunOracle {
public:
    explicit UnsettledRunOracle(BatchCluster& cluster)
        : m_cluster(cluster)
    {
    }

    // Examines the present state and returns a description of each new violation. To be called about once a second.
    std::vector<std::string> check();

private:
    bool isRunning(const RunKey& run) const;
    void checkRun(const RunKey& run, std::vector<std::string>& violations);

    BatchCluster& m_cluster;
    int m_owner = -1;
    // The placed runs that no worker executes, with the time since when.
    std::map<RunKey, absl::Time> m_unsettledSince;
    // The same runs, as of the present check.
    std::set<RunKey> m_seen;
    std::set<RunKey> m_reported;
};

} // namespace mangohall::batch
