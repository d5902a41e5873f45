#include "placement/scheduling_pass_base.h"

#include <algorithm>
#include <cmath>

#include "job/job_func.h"

namespace mangohall {
namespace {

// Limits on concurrent reservations, for policies that favour short completion times and for those that favour low
// fragmentation. Each reservation leaves accelerators idle until all its workers are free.
constexpr std::size_t maxReservationsForCompletion = 1;
constexpr std::size_t maxReservationsForFragmentation = 2;
// From this completion weight on, completion time takes precedence over fragmentation.
constexpr double balancedWeight = 0.5;
// How long a request waits before it gets a reservation if only completion time counts, and if only fragmentation
// counts.
constexpr absl::Duration maxReservationDelay = absl::Seconds(60);
constexpr absl::Duration minReservationDelay = absl::Seconds(10);

} // namespace

SchedulingPass::SchedulingPass(WaitingQueue& queue, PlacementPool& pool, const Policy& policy, PlacementSink& sink)
    : m_queue(queue)
    , m_pool(pool)
    , m_policy(policy)
    , m_sink(sink)
{
}

void SchedulingPass::run(absl::Time now)
{
    m_now = now;
    m_unplaceableClasses.clear();
    for (const AttemptId& attempt : m_pool.reservations()) {
        if (!m_queue.contains(attempt))
            m_pool.dropReservation(attempt);
    }
    m_reserved = m_pool.reservations();
    m_queue.visit(now, *this);
}

VisitResult SchedulingPass::visit(const WaitingRequest& candidate, WaitingStage stage)
{
    const RequestClass key = classOf(candidate, stage);
    if (m_unplaceableClasses.contains(key) && !isReserved(candidate.request.attempt))
        return VisitResult::NotPlaced;
    if (!isWithinQuota(candidate))
        return VisitResult::NotPlaced;
    PlacementRequest request = candidate.request;
    // Reservations delay only guaranteed and fair-share work. An expected end of now lets urgent and deadline work
    // pass.
    const bool isTimeCritical = stage == WaitingStage::Urgent || stage == WaitingStage::Deadline;
    request.expectedEndAt = isTimeCritical ? m_now : m_now + candidate.expectedRunTime;
    const absl::optional<PlacementDecision> choice = m_pool.choose(request);
    const bool isSuitable = choice.has_value() && (stage != WaitingStage::Guaranteed || !choice->guarantee.empty());
    if (isSuitable)
        return place(candidate, *choice);
    m_unplaceableClasses.insert(key);
    if (stage != WaitingStage::Guaranteed)
        reserveIfOverdue(candidate, request);
    return VisitResult::NotPlaced;
}

bool SchedulingPass::isWithinQuota(const WaitingRequest& candidate) const
{
    const OrganisationName& name = candidate.request.attempt.job.organisation;
    const Organisation limits = m_queue.organisation(name);
    if (limits.maxAccelerators <= 0)
        return true;
    const std::int64_t requested = totalAccelerators(candidate.request.spec.shape);
    return m_pool.heldAccelerators(name) + requested <= limits.maxAccelerators;
}

VisitResult SchedulingPass::place(const WaitingRequest& candidate, const PlacementDecision& choice)
{
    if (!m_pool.occupy(occupancyOf(candidate, choice, m_now)).ok())
        return VisitResult::NotPlaced;
    std::erase(m_reserved, candidate.request.attempt);
    m_sink.placed(candidate, choice);
    return VisitResult::Placed;
}

bool SchedulingPass::isReserved(const AttemptId& attempt) const
{
    return std::find(m_reserved.begin(), m_reserved.end(), attempt) != m_reserved.end();
}

void SchedulingPass::reserveIfOverdue(const WaitingRequest& candidate, const PlacementRequest& request)
{
    const bool hasReservation = isReserved(request.attempt);
    const std::size_t maxReservations
        = m_policy.completionWeight >= balancedWeight ? maxReservationsForCompletion : maxReservationsForFragmentation;
    const bool mayReserve = m_reserved.size() < maxReservations && m_now - candidate.acceptedAt >= reservationDelay();
    if (!hasReservation && !mayReserve)
        return;
    if (m_pool.reserve(request, m_now).has_value() && !hasReservation)
        m_reserved.push_back(request.attempt);
}

absl::Duration SchedulingPass::reservationDelay() const
{
    const double weight = std::clamp(m_policy.completionWeight, 0.0, 1.0);
    return minReservationDelay + (maxReservationDelay - minReservationDelay) * weight;
}

SchedulingPass::RequestClass SchedulingPass::classOf(const WaitingRequest& candidate, WaitingStage stage) const
{
    const PlacementRequest& request = candidate.request;
    const Shape& shape = request.spec.shape;
    RequestClass key;
    key.service = request.spec.service;
    key.tasks = shape.tasks;
    key.demandPerTask = request.demandPerTask;
    key.adjacency = shape.adjacency;
    key.isEvictable = isEvictable(request.spec);
    key.isForCells = stage == WaitingStage::Guaranteed;
    // Cells belong to one organisation, so a failure there tells nothing about the requests of another.
    if (candidate.isGuaranteed && stage <= WaitingStage::Guaranteed)
        key.organisation = request.attempt.job.organisation;
    if (!m_reserved.empty())
        key.runTimeScale = std::ilogb(std::max(1.0, absl::ToDoubleSeconds(candidate.expectedRunTime))) + 1;
    return key;
}

Occupancy occupancyOf(const WaitingRequest& waiting, const PlacementDecision& choice, absl::Time now)
{
    const PlacementRequest& request = waiting.request;
    Occupancy occupancy;
    occupancy.attempt = request.attempt;
    occupancy.organisation = request.attempt.job.organisation;
    occupancy.service = request.spec.service;
    occupancy.placement = choice.placement;
    occupancy.demandPerTask = request.demandPerTask;
    occupancy.isEvictable = isEvictable(request.spec);
    occupancy.priority = request.spec.priority;
    occupancy.guarantee = choice.guarantee;
    occupancy.evictions = choice.evictions;
    occupancy.startedAt = now;
    occupancy.expectedEndAt = now + waiting.expectedRunTime;
    return occupancy;
}

bool fitsInGuarantee(const PlacementRequest& request, const ShardName& shard, absl::Span<const Guarantee> guarantees)
{
    const Shape& shape = request.spec.shape;
    if (shape.acceleratorsPerTask <= 0)
        return false;
    return std::any_of(guarantees.begin(), guarantees.end(), [&](const Guarantee& guarantee) {
        if (guarantee.organisation != request.attempt.job.organisation || guarantee.shard != shard)
            return false;
        const std::int64_t tasksPerCell = guarantee.acceleratorsPerCell / shape.acceleratorsPerTask;
        const bool isCellAdjacentEnough = guarantee.adjacency >= shape.adjacency;
        const bool mayUseSeveralCells = shape.adjacency <= Adjacency::SameDataCentre;
        const std::int64_t cells = mayUseSeveralCells ? guarantee.cells : 1;
        return (isCellAdjacentEnough || mayUseSeveralCells) && tasksPerCell * cells >= shape.tasks;
    });
}

} // namespace mangohall
