#include "placement/fair_queue_base.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {
namespace {

// The number of accelerators that is charged for a request. Each task is charged for its accelerators or for its share
// of processor time, whichever is larger.
double chargedAccelerators(const PlacementRequest& request)
{
    constexpr double cpuMillisPerAccelerator = 16000;
    const Resources& demand = request.demandPerTask;
    const double perTask = std::max(
        static_cast<double>(demand.accelerators), static_cast<double>(demand.cpuMillis) / cpuMillisPerAccelerator);
    return perTask * request.spec.shape.tasks;
}

} // namespace

void FairQueue::setOrganisations(absl::Span<const Organisation> organisations)
{
    for (auto& [name, state] : m_organisations) {
        state.limits = Organisation();
        state.limits.name = name;
    }
    for (const Organisation& organisation : organisations)
        m_organisations[organisation.name].limits = organisation;
}

Organisation FairQueue::organisation(const OrganisationName& name) const
{
    const auto state = m_organisations.find(name);
    if (state != m_organisations.end())
        return state->second.limits;
    Organisation limits;
    limits.name = name;
    return limits;
}

absl::Status FairQueue::testPush(const WaitingRequest& request) const
{
    if (contains(request.request.attempt))
        return makeError(ErrorKind::KeyReused, "the attempt is already in the queue");
    const auto state = m_organisations.find(request.request.attempt.job.organisation);
    const Organisation limits = organisation(request.request.attempt.job.organisation);
    const std::size_t waiting = state == m_organisations.end() ? 0 : state->second.waiting;
    if (waiting >= static_cast<std::size_t>(std::max(limits.maxQueuedJobs, 0)))
        return makeError(
            ErrorKind::QueueFull, absl::StrCat("the organisation already has ", waiting, " jobs in the queue"));
    return absl::OkStatus();
}

absl::Status FairQueue::push(const WaitingRequest& request)
{
    absl::Status status = testPush(request);
    if (!status.ok())
        return status;
    auto entry = std::make_unique<Entry>();
    entry->waiting = request;
    const absl::Time latestStart = request.deadline - request.expectedRunTime;
    const int rank = request.request.spec.priority == Priority::Batch ? 1 : 0;
    const SortKey key { rank, latestStart, m_nextSequence++ };
    entry->queue = &queueFor(request);
    entry->position = entry->queue->emplace(key, &entry->waiting).first;
    if (request.isGuaranteed && entry->queue != &m_urgent) {
        entry->isInGuaranteedQueue = true;
        entry->guaranteedPosition = m_guaranteed.emplace(key, &entry->waiting).first;
    }
    ++m_organisations[request.request.attempt.job.organisation].waiting;
    m_shapes.add(request.request.spec.shape);
    m_entries.emplace(request.request.attempt, std::move(entry));
    return absl::OkStatus();
}

FairQueue::Queue& FairQueue::queueFor(const WaitingRequest& request)
{
    if (request.request.spec.priority == Priority::Urgent)
        return m_urgent;
    if (request.deadline != absl::InfiniteFuture())
        return m_deadline;
    const OrganisationName& name = request.request.attempt.job.organisation;
    const auto [state, isNew] = m_organisations.try_emplace(name);
    if (isNew)
        state->second.limits.name = name;
    return state->second.queue;
}

bool FairQueue::remove(const AttemptId& attempt)
{
    const auto found = m_entries.find(attempt);
    if (found == m_entries.end())
        return false;
    const Entry& entry = *found->second;
    entry.queue->erase(entry.position);
    if (entry.isInGuaranteedQueue)
        m_guaranteed.erase(entry.guaranteedPosition);
    --m_organisations[entry.waiting.request.attempt.job.organisation].waiting;
    m_shapes.remove(entry.waiting.request.spec.shape);
    m_entries.erase(found);
    return true;
}

bool FairQueue::contains(const AttemptId& attempt) const
{
    return m_entries.contains(attempt);
}

void FairQueue::decayUse(OrganisationState& state, absl::Time now)
{
    if (now <= state.usedAt)
        return;
    state.usedAcceleratorSeconds *= std::exp2(-absl::FDivDuration(now - state.usedAt, shareHalfLife));
    state.usedAt = now;
}

void FairQueue::charge(const OrganisationName& organisation, absl::Duration acceleratorTime, absl::Time now)
{
    OrganisationState& state = m_organisations[organisation];
    state.limits.name = organisation;
    decayUse(state, now);
    state.usedAcceleratorSeconds = std::max(0.0, state.usedAcceleratorSeconds + absl::ToDoubleSeconds(acceleratorTime));
}

void FairQueue::removePlaced(const WaitingRequest& waiting, absl::Time now)
{
    const double accelerators = chargedAccelerators(waiting.request);
    charge(waiting.request.attempt.job.organisation, waiting.expectedRunTime * accelerators, now);
    // Copy the key, since remove() deletes the entry that contains it.
    const AttemptId attempt = waiting.request.attempt;
    remove(attempt);
}

void FairQueue::visit(absl::Time now, CandidateVisitor& visitor)
{
    if (!visitRange(m_urgent, m_urgent.begin(), m_urgent.end(), WaitingStage::Urgent, now, visitor))
        return;
    if (!visitRange(m_guaranteed, m_guaranteed.begin(), m_guaranteed.end(), WaitingStage::Guaranteed, now, visitor))
        return;
    if (visitDeadlines(now, visitor))
        visitFairShare(now, visitor);
}

bool FairQueue::visitDeadlines(absl::Time now, CandidateVisitor& visitor)
{
    return visitRange(m_deadline, m_deadline.begin(), m_deadline.end(), WaitingStage::Deadline, now, visitor);
}

bool FairQueue::visitRange(Queue& queue, Queue::iterator first, Queue::iterator last, WaitingStage stage,
    absl::Time now, CandidateVisitor& visitor)
{
    for (auto position = first; position != last && position != queue.end();) {
        const WaitingRequest& waiting = *position->second;
        ++position;
        const VisitResult result = visitor.visit(waiting, stage);
        if (result == VisitResult::Stop)
            return false;
        if (result == VisitResult::Placed)
            removePlaced(waiting, now);
    }
    return true;
}

void FairQueue::visitFairShare(absl::Time now, CandidateVisitor& visitor)
{
    // The next request of an organisation that has candidates left.
    struct Cursor {
        OrganisationState* state;
        Queue::iterator next;
    };
    std::vector<Cursor> cursors;
    for (auto& [name, state] : m_organisations) {
        decayUse(state, now);
        if (!state.queue.empty())
            cursors.push_back({ &state, state.queue.begin() });
    }
    const auto weightedUse = [](const Cursor& cursor) {
        return cursor.state->usedAcceleratorSeconds / std::max(cursor.state->limits.weight, 1);
    };
    while (!cursors.empty()) {
        const auto cursor = std::min_element(cursors.begin(), cursors.end(),
            [&](const Cursor& left, const Cursor& right) { return weightedUse(left) < weightedUse(right); });
        const WaitingRequest& waiting = *cursor->next->second;
        ++cursor->next;
        const VisitResult result = visitor.visit(waiting, WaitingStage::FairShare);
        if (result == VisitResult::Stop)
            return;
        if (result == VisitResult::Placed)
            removePlaced(waiting, now);
        if (cursor->next == cursor->state->queue.end())
            cursors.erase(cursor);
    }
}

std::unique_ptr<WaitingQueue> makeFairQueue()
{
    return std::make_unique<FairQueue>();
}

} // namespace mangohall
