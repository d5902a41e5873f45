// Capacity of parts: waiting, reclaim and holds.
#include <algorithm>

#include "core/error_func.h"
#include "core/time_const.h"
#include "dispatch/dispatcher_base.h"
#include "job/job_func.h"

namespace mangohall {

namespace {

// A request that a scheduling pass has placed.
struct PlacedRequest {
    AttemptId attempt;
    PlacementDecision choice;
};

// Collects the decisions of a pass until it is over, since queue and pool must not change during a pass.
class PlacedRequests : public PlacementSink {
public:
    void placed(const WaitingRequest& waiting, const PlacementDecision& choice) override
    {
        m_placed.push_back({ waiting.request.attempt, choice });
    }

    const std::vector<PlacedRequest>& all() const { return m_placed; }

private:
    std::vector<PlacedRequest> m_placed;
};

bool waitsForCapacity(const DispatchPart& part)
{
    return part.state == PartState::Waiting || part.state == PartState::Reclaiming;
}

} // namespace

Dispatcher::Dispatcher(ShardName name, Epoch epoch, std::unique_ptr<PlacementPool> pool,
    std::unique_ptr<WaitingQueue> queue, RandomSource& random, Outbox& outbox, const Clock& clock)
    : m_name(std::move(name))
    , m_epoch(epoch)
    , m_pool(std::move(pool))
    , m_queue(std::move(queue))
    , m_random(random)
    , m_outbox(outbox)
    , m_clock(clock)
    , m_directory(std::make_shared<Directory>())
{
}

PlacementRequest Dispatcher::requestOf(const DispatchPart& part) const
{
    PlacementRequest request;
    request.attempt = part.attempt;
    request.spec = part.spec;
    request.spec.shape.tasks = part.taskCount;
    request.firstTask = part.firstTask;
    request.demandPerTask = m_load.demandPerTask(part.attempt.job.organisation, part.spec);
    return request;
}

void Dispatcher::reserve(const ReserveCapacity& message, absl::Time now)
{
    if (DispatchPart* existing = findPart(message.attempt)) {
        if (existing->state == PartState::Held)
            sendHeld(*existing);
        const bool hasEndedUnclaimed = existing->state == PartState::Ended && !existing->hasBeenStarted;
        if (existing->state == PartState::Ended && !hasEndedUnclaimed)
            sendEnd(*existing, now);
        if (!hasEndedUnclaimed)
            return;
        // The home shard repeats the request after a hold that has timed out.
        forgetPart(message.attempt);
    }
    DispatchPart part;
    part.attempt = message.attempt;
    part.home = message.home;
    part.spec = message.spec;
    part.checkpoint = message.checkpoint;
    part.firstTask = message.firstTask;
    part.taskCount = message.spec.shape.tasks;
    part.acceptedAt = message.acceptedAt;
    const bool hasKnownWorkers = std::any_of(
        m_workers.begin(), m_workers.end(), [](const auto& entry) { return !entry.second.incarnation.empty(); });
    const absl::Status fits = hasKnownWorkers ? m_pool->testEverFits(requestOf(part)) : absl::OkStatus();
    const absl::Status admission = fits.ok() ? m_queue->testPush(waitingOf(part)) : fits;
    if (!admission.ok()) {
        m_outbox.toShard(message.home,
            CapacityRefused { message.attempt, m_name, errorKindOf(admission), std::string(admission.message()),
                message.firstTask, message.spec.shape.tasks });
        return;
    }
    DispatchPart& stored = m_parts.emplace(message.attempt, std::move(part)).first->second;
    queuePart(stored, now);
    schedule(now);
}

WaitingRequest Dispatcher::waitingOf(const DispatchPart& part) const
{
    const OrganisationName& organisation = part.attempt.job.organisation;
    std::vector<Guarantee> guarantees;
    for (const auto& [name, guarantee] : m_directory->guarantees)
        guarantees.push_back(guarantee);
    WaitingRequest waiting;
    waiting.request = requestOf(part);
    waiting.acceptedAt = part.acceptedAt;
    waiting.deadline = part.acceptedAt + part.spec.deadline;
    waiting.expectedRunTime = m_load.medianRunTime(organisation, part.spec);
    waiting.isGuaranteed = fitsInGuarantee(waiting.request, m_name, guarantees);
    return waiting;
}

void Dispatcher::queuePart(DispatchPart& part, absl::Time now)
{
    part.state = PartState::Waiting;
    part.tasks.clear();
    part.evictions.clear();
    m_isScheduleDue = true;
    if (!m_queue->push(waitingOf(part)).ok())
        endPart(part, PartEnd::NeverRan, now);
}

void Dispatcher::schedule(absl::Time now)
{
    if (!m_isScheduleDue || m_isDeposed)
        return;
    m_isPassDelayed = !m_pacer.mayBegin(now);
    if (m_isPassDelayed)
        return;
    m_isScheduleDue = false;
    const absl::Time passStart = m_clock.now();
    finishReclaims(now);
    PlacedRequests placed;
    SchedulingPass pass(*m_queue, *m_pool, m_directory->policy, placed);
    pass.run(now);
    for (const PlacedRequest& request : placed.all())
        applyPlacement(request.attempt, request.choice, now);
    sendCapacity(now);
    observeShortfalls();
    m_pacer.recordWork(passStart, m_clock.now());
}

void Dispatcher::applyPlacement(const AttemptId& attempt, const PlacementDecision& choice, absl::Time now)
{
    DispatchPart* part = findPart(attempt);
    if (part == nullptr)
        return;
    const HoldId holdId { m_epoch, ++m_lastHold };
    part->tasks.clear();
    for (TaskPlacement placement : choice.placement) {
        placement.hold = holdId;
        placement.shard = m_name;
        DispatchTask task;
        task.placement = std::move(placement);
        part->tasks.push_back(std::move(task));
    }
    part->guarantee = choice.guarantee;
    part->evictions = choice.evictions;
    part->state = PartState::Reclaiming;
    if (!choice.evictions.empty() && part->reclaimStartedAt == absl::InfiniteFuture())
        part->reclaimStartedAt = now;
    for (const AttemptId& borrower : choice.evictions)
        evict(borrower, now);
    holdIfVacated(*part, now);
}

bool Dispatcher::hasReleasedCapacity(const AttemptId& borrower) const
{
    const auto found = m_parts.find(borrower);
    return found == m_parts.end() || found->second.state == PartState::Ended
        || found->second.state == PartState::Waiting;
}

void Dispatcher::holdIfVacated(DispatchPart& part, absl::Time now)
{
    std::erase_if(part.evictions, [this](const AttemptId& borrower) { return hasReleasedCapacity(borrower); });
    if (!part.evictions.empty())
        return;
    if (part.reclaimStartedAt != absl::InfiniteFuture())
        observeReclaim(part, now);
    part.reclaimStartedAt = absl::InfiniteFuture();
    part.state = PartState::Held;
    part.holdUntil = now + holdTimeout;
    sendHeld(part);
}

void Dispatcher::finishReclaims(absl::Time now)
{
    for (auto& [attempt, part] : m_parts) {
        if (part.state == PartState::Reclaiming)
            holdIfVacated(part, now);
    }
}

void Dispatcher::requeueBlockedReclaims(absl::Time now)
{
    for (auto& [attempt, part] : m_parts) {
        if (part.state != PartState::Reclaiming)
            continue;
        const bool isBlocked = std::any_of(part.tasks.begin(), part.tasks.end(), [this](const DispatchTask& task) {
            const WorkerSession* session = findWorker(task.placement.worker);
            return session == nullptr || !session->isAvailable;
        });
        if (!isBlocked)
            continue;
        // Place the part elsewhere instead of waiting until the leases on the unavailable worker have lapsed.
        m_pool->vacateAll(attempt);
        queuePart(part, now);
    }
}

void Dispatcher::sendHeld(const DispatchPart& part)
{
    CapacityHeld held { part.attempt, m_name, {} };
    for (const DispatchTask& task : part.tasks)
        held.placement.push_back(task.placement);
    m_outbox.toShard(part.home, std::move(held));
}

void Dispatcher::evict(const AttemptId& attempt, absl::Time now)
{
    DispatchPart* borrower = findPart(attempt);
    if (borrower == nullptr || borrower->state == PartState::Stopping || borrower->state == PartState::Ended)
        return;
    if (waitsForCapacity(*borrower) || borrower->state == PartState::Held) {
        // No task has been started under the hold.
        borrower->stopReason = StopReason::Evicted;
        endPart(*borrower, PartEnd::NeverRan, now);
        return;
    }
    if (borrower->spec.isCheckpointable)
        borrower->graceUntil = now + m_directory->policy.checkpointGrace;
    stop(*borrower, StopReason::Evicted, now);
}

void Dispatcher::expireHolds(absl::Time now)
{
    for (auto& [attempt, part] : m_parts) {
        if (part.state == PartState::Held && part.holdUntil <= now)
            endPart(part, PartEnd::NeverRan, now);
    }
}

CapacitySummary Dispatcher::summary() const
{
    CapacitySummary summary = m_pool->summary();
    summary.shard = m_name;
    for (const auto& [attempt, part] : m_parts) {
        if (waitsForCapacity(part))
            summary.queuedTasks += part.taskCount;
    }
    return summary;
}

} // namespace mangohall
