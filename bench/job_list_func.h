// Generates the jobs and worker outages of a policy trial from a seed.
#pragma once

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "configuration/configuration_type.h"
#include "job/job_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// A generated job. The scheduler sees `key` and `spec`; the other members are known to the trial only.
struct TrialJob {
    JobKey key;
    JobSpec spec;
    // Index into TrialPlan::shards of the shard that the job is submitted to.
    std::size_t shard = 0;
    absl::Time arrivesAt;
    // The actual run time; the declared one in `spec` deviates from it.
    absl::Duration runTime;
    // Whether an organisation that has been absent submits the job to get back the capacity guaranteed to it. Such a
    // job has to start within the time limit for urgent work.
    bool isReclaim = false;
};

// A period in which a worker is down. All its tasks are lost, and it comes back without any.
struct WorkerOutage {
    // Index into TrialPlan::shards.
    std::size_t shard = 0;
    WorkerName worker;
    absl::Time startsAt;
    absl::Time endsAt;
};

// The input of one trial, the same for every policy.
struct TrialPlan {
    // The names that makeTrialPlan() was called with.
    std::string deployment;
    std::string load;
    std::vector<ShardName> shards;
    // The workers of each shard, in the order of `shards`.
    std::vector<std::vector<VmEntry>> workers;
    std::vector<Guarantee> guarantees;
    std::vector<Organisation> organisations;
    std::vector<Service> services;
    // In the order of arrival.
    std::vector<TrialJob> jobs;
    std::vector<WorkerOutage> outages;
    absl::Time startsAt;
    // No job arrives after this time.
    absl::Time endsAt;
};

// Returns the plan of a deployment, which is the same for the same seed. The deployment "zagara" has many small jobs;
// "caroni", which any other name selects too, has more large ones. Under the load "full" jobs of every kind queue up;
// under "half" they queue up in bursts only.
TrialPlan makeTrialPlan(absl::string_view deployment, absl::string_view load, std::uint64_t seed);

} // namespace mangohall
