// Functions and constants that the scenario tests share.
#pragma once

#include <string>
#include <vector>

#include "cluster/cluster_base.h"

namespace mangohall {

// The largest time from a job's submission to the injected fault.
inline constexpr int maxFaultOffsetMs = 60;

// Makes a job of one task that must not run twice.
inline JobSpec nonIdempotentJob(absl::Duration runTime)
{
    return singleTask(runTime);
}

// Checks the last answer of a non-idempotent job of one task against the executions on the workers: there is at most
// one, exactly one if the answer says that the job ran, and none if it says that it did not run.
void expectAnswerMatchesExecutions(const Cluster& cluster, CallerId caller, const std::string& organisation,
    const std::string& key, const std::string& scenario);

// Returns the name of the node that owns the home shard of the key.
std::string homeShardOwner(const Cluster& cluster, const std::string& organisation, const std::string& key);

} // namespace mangohall
