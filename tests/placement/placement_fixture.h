// Functions that create workers, guarantees, requests and occupancies for tests of placement.
#pragma once

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "job/job_func.h"
#include "placement/placement_pool_base.h"

namespace mangohall {

// The shard of all guarantees and placements in the tests.
inline const ShardName testShard("shard-a");
// Accelerators of each worker.
inline constexpr std::int32_t testAccelerators = 8;

// The VM of worker `worker` in rack `rack`, both counted from 0.
inline VmEntry makeVm(int rack, int worker)
{
    VmEntry vm;
    vm.rack = RackName(absl::StrCat("rack", rack));
    vm.worker = WorkerName(absl::StrCat("rack", rack, "-worker", worker));
    vm.dataCentre = DataCentreName("ct-a");
    vm.capacity = { 128000, std::int64_t { 256 } << 30, testAccelerators };
    return vm;
}

// Adds available workers of incarnation "run1" to the pool and declares the tests' service.
inline void addWorkers(PlacementPool& pool, int racks, int workersPerRack)
{
    const Service service { ServiceName("regdesk"), 64, 64 };
    pool.setServices({ &service, 1 });
    for (int rack = 0; rack < racks; ++rack) {
        for (int worker = 0; worker < workersPerRack; ++worker)
            pool.setWorker(makeVm(rack, worker), "run1", true);
    }
}

// A guarantee of `cells` cells with `accelerators` accelerators each.
inline Guarantee makeGuarantee(absl::string_view organisation, int cells, int accelerators, Adjacency adjacency)
{
    Guarantee guarantee;
    guarantee.name = GuaranteeName(absl::StrCat(organisation, "-room"));
    guarantee.organisation = OrganisationName(organisation);
    guarantee.shard = testShard;
    guarantee.cells = cells;
    guarantee.acceleratorsPerCell = accelerators;
    guarantee.adjacency = adjacency;
    return guarantee;
}

// A request for the job with the given key. It is evictable if it has checkpoints.
inline PlacementRequest makeRequest(
    absl::string_view organisation, absl::string_view key, Shape shape, bool isEvictable)
{
    PlacementRequest request;
    request.attempt.job = { OrganisationName(organisation), std::string(key) };
    request.spec.service = ServiceName("regdesk");
    request.spec.shape = shape;
    request.spec.isCheckpointable = isEvictable;
    request.demandPerTask = { 1000, std::int64_t { 1 } << 30, shape.acceleratorsPerTask };
    return request;
}

// The occupancy of the request on the workers of the choice, without its evictions.
inline Occupancy makeOccupancy(const PlacementRequest& request, const PlacementDecision& choice, absl::Time startedAt)
{
    Occupancy occupancy;
    occupancy.attempt = request.attempt;
    occupancy.organisation = request.attempt.job.organisation;
    occupancy.service = request.spec.service;
    occupancy.placement = choice.placement;
    occupancy.demandPerTask = request.demandPerTask;
    occupancy.isEvictable = isEvictable(request.spec);
    occupancy.guarantee = choice.guarantee;
    occupancy.startedAt = startedAt;
    return occupancy;
}

} // namespace mangohall
