// Measures the cost of a placement decision by the number of workers in the shard.
#include "absl/strings/str_cat.h"
#include "placement/placement_pool_base.h"
#include "slopes/measure_func.h"
#include "slopes/sample_func.h"
#include "slopes/slopes_func.h"

namespace mangohall {

namespace {

constexpr int workerCounts[] = { 64, 256, 1000 };
constexpr int choicesPerShape = 200;
constexpr int gangTasks = 64;

// A requested shape and the name of its measurement.
struct ShapeCase {
    absl::string_view name;
    Shape shape;
};

constexpr ShapeCase shapeCases[] = {
    { "chooseOne", { 1, 1, Adjacency::Anywhere } },
    { "chooseRackOfEight", { 8, 1, Adjacency::SameRack } },
    { "chooseGang", { gangTasks, 1, Adjacency::Anywhere } },
};

PlacementRequest requestFor(int index, const Shape& shape)
{
    PlacementRequest request;
    request.attempt = { sampleKey(index), 0 };
    request.spec = sampleSpec(shape.tasks);
    request.spec.shape = shape;
    request.demandPerTask = { 1000, 1LL << 30U, shape.acceleratorsPerTask };
    return request;
}

void occupy(PlacementPool& pool, const PlacementRequest& request, const PlacementDecision& choice)
{
    Occupancy occupancy;
    occupancy.attempt = request.attempt;
    occupancy.organisation = request.attempt.job.organisation;
    occupancy.service = request.spec.service;
    occupancy.placement = choice.placement;
    occupancy.demandPerTask = request.demandPerTask;
    occupancy.isEvictable = true;
    occupancy.guarantee = choice.guarantee;
    occupancy.startedAt = sampleNow();
    static_cast<void>(pool.occupy(occupancy));
}

std::unique_ptr<PlacementPool> makePool(int workers)
{
    std::unique_ptr<PlacementPool> pool = makeCellPool(sampleShard(0));
    for (const VmEntry& vm : sampleVms(0, workers))
        pool->setWorker(vm, "run-0123456789abcdef", true);
    Service service;
    service.name = ServiceName("pricing");
    pool->setServices({ service });
    std::vector<Guarantee> guarantees;
    for (int index = 0; index < sampleOrganisations; index += sampleWorkersPerRack) {
        Guarantee guarantee;
        guarantee.name = GuaranteeName(absl::StrCat("guarantee-", index));
        guarantee.organisation = sampleKey(index).organisation;
        guarantee.shard = sampleShard(0);
        guarantee.cells = 1;
        guarantee.acceleratorsPerCell = sampleAcceleratorsPerWorker;
        guarantees.push_back(guarantee);
    }
    pool->setGuarantees(guarantees);
    return pool;
}

} // namespace

void measurePlacement(std::uint64_t seed)
{
    for (const int workers : workerCounts) {
        const std::unique_ptr<PlacementPool> pool = makePool(workers);
        const int jobsInHalfShard = workers * sampleAcceleratorsPerWorker / 2;
        const Stopwatch fillWatch;
        for (int index = 0; index < jobsInHalfShard; ++index) {
            const PlacementRequest request = requestFor(index, shapeCases[0].shape);
            if (const auto choice = pool->choose(request))
                occupy(*pool, request, *choice);
        }
        print({ "placement", "chooseAndOccupyOne", seed, workers, fillWatch.micros() / jobsInHalfShard, "us/choice" });
        for (const ShapeCase& shapeCase : shapeCases) {
            const Stopwatch watch;
            for (int index = 0; index < choicesPerShape; ++index)
                static_cast<void>(pool->choose(requestFor(jobsInHalfShard + index, shapeCase.shape)));
            print({ "placement", shapeCase.name, seed, workers, watch.micros() / choicesPerShape, "us/choice" });
        }
    }
}

} // namespace mangohall
