#include "placement/fifo_queue_base.h"

#include "absl/strings/str_cat.h"
#include "core/error_func.h"

namespace mangohall {

void FifoQueue::setOrganisations(absl::Span<const Organisation> organisations)
{
    m_organisations.clear();
    for (const Organisation& organisation : organisations)
        m_organisations[organisation.name] = organisation;
}

Organisation FifoQueue::organisation(const OrganisationName& name) const
{
    const auto limits = m_organisations.find(name);
    if (limits != m_organisations.end())
        return limits->second;
    Organisation undeclared;
    undeclared.name = name;
    return undeclared;
}

absl::Status FifoQueue::testPush(const WaitingRequest& request) const
{
    if (contains(request.request.attempt))
        return makeError(ErrorKind::KeyReused, "the attempt is already in the queue");
    const OrganisationName& name = request.request.attempt.job.organisation;
    const auto waiting = m_waitingCounts.find(name);
    if (waiting != m_waitingCounts.end() && waiting->second >= organisation(name).maxQueuedJobs)
        return makeError(
            ErrorKind::QueueFull, absl::StrCat("the organisation already has ", waiting->second, " jobs in the queue"));
    return absl::OkStatus();
}

absl::Status FifoQueue::push(const WaitingRequest& request)
{
    absl::Status status = testPush(request);
    if (!status.ok())
        return status;
    m_requests.push_back(request);
    m_positions.emplace(request.request.attempt, std::prev(m_requests.end()));
    ++m_waitingCounts[request.request.attempt.job.organisation];
    m_shapes.add(request.request.spec.shape);
    return absl::OkStatus();
}

bool FifoQueue::remove(const AttemptId& attempt)
{
    const auto position = m_positions.find(attempt);
    if (position == m_positions.end())
        return false;
    const Requests::iterator entry = position->second;
    --m_waitingCounts[entry->request.attempt.job.organisation];
    m_shapes.remove(entry->request.spec.shape);
    m_positions.erase(position);
    m_requests.erase(entry);
    return true;
}

void FifoQueue::charge(const OrganisationName& /*organisation*/, absl::Duration /*acceleratorTime*/, absl::Time /*now*/)
{
}

void FifoQueue::visit(absl::Time /*now*/, CandidateVisitor& visitor)
{
    for (auto entry = m_requests.begin(); entry != m_requests.end();) {
        const VisitResult result = visitor.visit(*entry, WaitingStage::FairShare);
        if (result == VisitResult::Stop)
            return;
        const AttemptId attempt = entry->request.attempt;
        ++entry;
        if (result == VisitResult::Placed)
            remove(attempt);
    }
}

std::unique_ptr<WaitingQueue> makeFifoQueue()
{
    return std::make_unique<FifoQueue>();
}

} // namespace mangohall
