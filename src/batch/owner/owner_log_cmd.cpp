// Log records of the owner's decisions.
#include "batch/owner/owner_part_base.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "batch/job/phase_name_func.h"
#include "batch/owner/run_name_func.h"
#include "batch/owner/unavailable_workers_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration heldRunReviewPeriod = absl::Seconds(1);

} // namespace

void OwnerPart::logRun(DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker,
    absl::string_view outcome, absl::string_view reason, absl::Duration age)
{
    DecisionEffect decision = describeRun(kind, run, worker);
    decision.outcome = std::string(outcome);
    decision.reason = std::string(reason);
    decision.age = age;
    m_outbox.log(std::move(decision));
}

DecisionEffect OwnerPart::describeRun(DecisionEffect::Kind kind, const RunKey& run, const WorkerName& worker) const
{
    DecisionEffect decision;
    decision.kind = kind;
    decision.job = run.task.job.str();
    decision.run = runName(run);
    decision.worker = worker.str();
    decision.epoch = m_ownership.epoch();
    const auto session = m_workers.sessions().find(worker);
    if (session != m_workers.sessions().end()) {
        decision.workerProcessStartMs = session->second.processStartMs();
        decision.rowProcessStartMs = session->second.entry().processStartMs;
    }
    return decision;
}

void OwnerPart::logJobEnd(const JobEntry& entry, absl::Time now)
{
    const Job& job = entry.progress.job();
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobEnded;
    decision.job = job.id.str();
    decision.queue = job.queue.str();
    decision.outcome = std::string(phaseName(entry.progress.phase()));
    decision.age = now - job.acceptedAt;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logAllocation(
    const Allocation& allocation, const AllocationInput& input, absl::Duration took, absl::Time now)
{
    AllocationStats stats;
    stats.workers = input.workers.size();
    stats.steps = input.pendingSteps.size();
    stats.placed = allocation.placements.size();
    stats.evicted = allocation.evictions.size();
    stats.workersExamined = allocation.workersExamined;
    stats.jobsAge = now - m_jobFollower.confirmedAt();
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::AllocationMade;
    decision.epoch = m_ownership.epoch();
    decision.age = took;
    decision.allocation = stats;
    m_outbox.log(std::move(decision));
}

// Logs once for each job that a guarantee covers it, and once that the guarantee is enforced by eviction.
void OwnerPart::logGuarantees(const AllocationInput& input, absl::Time now)
{
    for (const PendingStep& pending : input.pendingSteps) {
        JobEntry& entry = *m_jobs.find(pending.job);
        const Job& job = entry.progress.job();
        DecisionEffect decision;
        decision.job = job.id.str();
        decision.organisation = job.organisation.str();
        decision.version = m_routes == nullptr ? 0 : m_routes->manifest().version;
        decision.age = now - job.acceptedAt;
        if (pending.isGuaranteed && !std::exchange(entry.isGuaranteeLogged, true)) {
            decision.kind = DecisionEffect::Kind::JobGuaranteed;
            m_outbox.log(decision);
        }
        if (pending.mayReclaim && !std::exchange(entry.isReclaimLogged, true)) {
            decision.kind = DecisionEffect::Kind::ReclaimDue;
            m_outbox.log(std::move(decision));
        }
    }
}

void OwnerPart::logHeldJobs(absl::Span<const HeldStep> held, absl::Time now)
{
    for (const HeldStep& step : held) {
        JobEntry& entry = *m_jobs.find(step.job);
        if (!entry.wait.recordReason(step.reason))
            continue;
        DecisionEffect decision;
        decision.kind = DecisionEffect::Kind::JobHeld;
        decision.job = step.job.str();
        decision.queue = entry.progress.job().queue.str();
        decision.outcome = std::string(holdReasonName(step.reason));
        if (step.reason == HoldReason::NoCapacity)
            decision.reason = describeUnavailable(m_workers, now);
        decision.epoch = m_ownership.epoch();
        decision.age = entry.wait.idleTime(now);
        m_outbox.log(std::move(decision));
    }
}

absl::Time OwnerPart::nextHeldRunReview() const
{
    return m_jobs.entries().empty() ? absl::InfiniteFuture() : m_heldRunsReviewedAt + heldRunReviewPeriod;
}

void OwnerPart::reviewHeldRuns(absl::Time now)
{
    if (nextHeldRunReview() > now)
        return;
    m_heldRunsReviewedAt = now;
    for (auto& [id, entry] : m_jobs.entries()) {
        if (entry.progress.isFinal())
            continue;
        const absl::optional<HeldRun> held = findHeldRun(entry.progress, m_workers);
        if (entry.wait.recordHeldRun(held, now))
            logHeldRun(entry, *held, now);
    }
}

void OwnerPart::logHeldRun(const JobEntry& entry, const HeldRun& held, absl::Time now)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::JobHeld;
    decision.job = held.run.task.job.str();
    decision.run = runName(held.run);
    decision.worker = held.worker.str();
    decision.queue = entry.progress.job().queue.str();
    decision.outcome = std::string(runHoldName(held.hold));
    if (held.until != absl::InfiniteFuture())
        decision.reason = absl::StrCat("over within ", absl::ToInt64Milliseconds(held.until - now), " ms");
    decision.epoch = m_ownership.epoch();
    decision.age = entry.wait.heldTime(now);
    m_outbox.log(std::move(decision));
}

void OwnerPart::reviewLoad(absl::Time now)
{
    absl::optional<OwnerLoadStats> stats = m_load.review(m_workers, now);
    if (!stats)
        return;
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::OwnerBehind;
    decision.epoch = m_ownership.epoch();
    decision.ownerLoad = *stats;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logGuaranteeMet(JobEntry& entry, absl::Time now)
{
    if (!entry.isGuaranteeLogged || entry.isGuaranteeMetLogged || !entry.progress.haveFirstTasksBegun())
        return;
    entry.isGuaranteeMetLogged = true;
    const Job& job = entry.progress.job();
    const auto sinceAcceptance = [&job](absl::Time time) {
        return time == absl::InfiniteFuture() ? absl::InfiniteDuration() : time - job.acceptedAt;
    };
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::GuaranteeMet;
    decision.job = job.id.str();
    decision.organisation = job.organisation.str();
    decision.age = now - job.acceptedAt;
    decision.startTimes = { sinceAcceptance(entry.wait.addedAt()), sinceAcceptance(entry.wait.firstEvictionAt()),
        sinceAcceptance(entry.wait.lastPlacementAt()) };
    m_outbox.log(std::move(decision));
}

void OwnerPart::logQuarantine(const WorkerName& worker, absl::Duration duration)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::WorkerQuarantined;
    decision.worker = worker.str();
    decision.epoch = m_ownership.epoch();
    decision.age = duration;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logStart(const WorkerUpdate& update, absl::Time now)
{
    if (update.session.unansweredStart) {
        const RunKey& run = *update.session.unansweredStart;
        const absl::Duration left = m_workers.find(update.worker)->startsMayComeUntil(run) - now;
        DecisionEffect decision = describeRun(DecisionEffect::Kind::StartUnanswered, run, update.worker);
        decision.reason = absl::StrCat("may be executed within ", absl::ToInt64Milliseconds(left), " ms");
        decision.senderDelay = update.session.senderDelay;
        m_outbox.log(std::move(decision));
    }
    if (update.session.barredStart)
        logRun(DecisionEffect::Kind::StartBarred, *update.session.barredStart, update.worker);
}

void OwnerPart::logUnsettledRun(
    JobEntry& entry, const RunKey& run, const WorkerName& worker, absl::Time lapsesAt, absl::Time now)
{
    if (std::exchange(entry.isUnsettledRunLogged, true))
        return;
    const RunSlot& slot = m_workers.find(worker)->runs().at(run);
    logRun(DecisionEffect::Kind::RunUnsettled, run, worker, runStageName(slot.stage),
        absl::StrCat("ends within ", absl::ToInt64Milliseconds(lapsesAt - now), " ms"), now - slot.since);
}

void OwnerPart::logUnansweredRenewal(const WorkerUpdate& update)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::RenewalUnanswered;
    decision.worker = update.worker.str();
    decision.epoch = m_ownership.epoch();
    decision.workerProcessStartMs = *update.session.unansweredRenewal;
    decision.senderDelay = update.session.senderDelay;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logWorker(const WorkerUpdate& update)
{
    DecisionEffect decision;
    decision.kind = update.session.isLost ? DecisionEffect::Kind::WorkerLost : DecisionEffect::Kind::WorkerFound;
    decision.worker = update.worker.str();
    decision.epoch = m_ownership.epoch();
    decision.version = update.processStartMs;
    if (update.session.isLost)
        decision.senderDelay = update.session.senderDelay;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logWorkerList(bool isCurrent, absl::Time now)
{
    DecisionEffect decision;
    decision.kind = isCurrent ? DecisionEffect::Kind::WorkerListCurrent : DecisionEffect::Kind::WorkerListOld;
    decision.epoch = m_ownership.epoch();
    decision.age = now - m_workerFollower.confirmedAt();
    m_outbox.log(std::move(decision));
}

void OwnerPart::logEvacuationAge(bool isCurrent, absl::Time now)
{
    DecisionEffect decision;
    decision.kind = isCurrent ? DecisionEffect::Kind::EvacuationsCurrent : DecisionEffect::Kind::EvacuationsOld;
    decision.epoch = m_ownership.epoch();
    decision.age = now - m_directoryConfirmedAt;
    m_outbox.log(std::move(decision));
}

void OwnerPart::logUnreadable(const Record& record)
{
    DecisionEffect decision;
    decision.kind = DecisionEffect::Kind::RecordUnreadable;
    decision.run = record.key.name;
    decision.version = record.revision;
    if (const auto* unreadable = std::get_if<UnreadableRecord>(&record.value))
        decision.reason = unreadable->reason;
    m_outbox.log(std::move(decision));
}

} // namespace mangohall::batch
