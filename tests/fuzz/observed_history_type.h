// The history of a run as observed from outside the nodes. The oracles use nothing else.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_base.h"

namespace mangohall {

// What callers and workers have recorded.
struct ObservedHistory {
    const std::map<CallerId, CallerLog>& callers;
    std::vector<TaskExecution> executions;
    const std::vector<TaskStart>& starts;
    const std::vector<AcceptedEpoch>& epochs;
};

// Descriptions of the violations that were found.
using Findings = std::vector<std::string>;

// Collects the records of the cluster's callers and workers so far.
inline ObservedHistory observedHistoryOf(Cluster& cluster)
{
    return { cluster.logs(), cluster.workerPool().executions(), cluster.workerPool().starts(),
        cluster.workerPool().acceptedEpochs() };
}

} // namespace mangohall
