#include "worker/worker_health_base.h"

#include <algorithm>

namespace mangohall {
namespace {

// When this number of tasks of one kind, or on one worker, have ended, the counts are cut to half, so that old tasks
// lose weight.
constexpr double maxEndedPerKind = 256;
constexpr double maxEndedPerWorker = 16;
// The prior of the peers' failure rate: their counts start with this number of ended tasks, of which this share failed.
constexpr double priorEnded = 4;
constexpr double priorFailureRate = 0.05;
// A worker is quarantined once its excess failures reach both this number and this share of its ended tasks.
constexpr double minExcessFailures = 2.5;
constexpr double minExcessShare = 0.5;
// The number of workers on which a job has to fail before the job is considered at fault.
constexpr std::size_t minWorkersForJobFault = 3;
// The maximum number of failing jobs that are remembered.
constexpr std::size_t maxFailingJobs = 1024;
// The maximum number of kinds that are counted. When it is exceeded, all counts by kind start again.
constexpr std::size_t maxKinds = 1024;
// Bounds of the time for which a worker is quarantined before it is probed.
constexpr absl::Duration firstBackoff = absl::Seconds(30);
constexpr absl::Duration maxBackoff = absl::Minutes(30);

} // namespace

void WorkerHealth::TaskCounts::add(bool isFailure)
{
    if (ended >= maxEndedPerKind) {
        ended /= 2;
        failed /= 2;
    }
    ended += 1;
    failed += isFailure ? 1 : 0;
}

void WorkerHealth::recordSuccess(
    const WorkerName& worker, const JobKey& job, const ServiceName& service, absl::Time /*now*/)
{
    WorkerRecord& record = m_workers[worker];
    count(record, { job.organisation, service }, false);
    if (!record.isQuarantined)
        return;
    record.isQuarantined = false;
    record.isProbing = false;
    record.excessFailures = 0;
    record.endedTasks = 0;
    record.backoff = absl::ZeroDuration();
}

void WorkerHealth::recordFailure(
    const WorkerName& worker, const JobKey& job, const ServiceName& service, absl::Time now)
{
    WorkerRecord& record = m_workers[worker];
    const WorkKind kind { job.organisation, service };
    const double amount = 1.0 - peerFailureRate(record, kind);
    count(record, kind, true);
    chargeFailure(worker, record, job, amount);
    const bool isFailedProbe = record.isQuarantined && record.isProbing;
    if (isFailedProbe || (!record.isQuarantined && shouldQuarantine(record)))
        quarantine(record, now);
}

void WorkerHealth::removeWorker(const WorkerName& worker)
{
    m_workers.erase(worker);
}

WorkerFitness WorkerHealth::fitness(const WorkerName& worker, absl::Time now) const
{
    const auto record = m_workers.find(worker);
    if (record == m_workers.end() || !record->second.isQuarantined)
        return WorkerFitness::Healthy;
    if (record->second.isProbing)
        return WorkerFitness::Probing;
    return now < record->second.probeAt ? WorkerFitness::Quarantined : WorkerFitness::MayProbe;
}

void WorkerHealth::beginProbe(const WorkerName& worker, absl::Time now)
{
    if (fitness(worker, now) == WorkerFitness::MayProbe)
        m_workers[worker].isProbing = true;
}

void WorkerHealth::abandonProbe(const WorkerName& worker)
{
    const auto record = m_workers.find(worker);
    if (record != m_workers.end())
        record->second.isProbing = false;
}

absl::Time WorkerHealth::nextProbeAt() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto& [worker, record] : m_workers) {
        if (record.isQuarantined && !record.isProbing)
            next = std::min(next, record.probeAt);
    }
    return next;
}

double WorkerHealth::peerFailureRate(const WorkerRecord& record, const WorkKind& kind) const
{
    TaskCounts peers;
    const auto all = m_kinds.find(kind);
    if (all != m_kinds.end())
        peers = all->second;
    const auto own = record.countsByKind.find(kind);
    if (own != record.countsByKind.end()) {
        peers.ended = std::max(0.0, peers.ended - own->second.ended);
        peers.failed = std::max(0.0, peers.failed - own->second.failed);
    }
    const double failures = std::min(peers.failed, peers.ended) + priorEnded * priorFailureRate;
    return failures / (peers.ended + priorEnded);
}

void WorkerHealth::count(WorkerRecord& record, const WorkKind& kind, bool isFailure)
{
    if (m_kinds.size() >= maxKinds && !m_kinds.contains(kind)) {
        m_kinds.clear();
        for (auto& [worker, other] : m_workers)
            other.countsByKind.clear();
    }
    m_kinds[kind].add(isFailure);
    record.countsByKind[kind].add(isFailure);
    if (record.endedTasks >= maxEndedPerWorker) {
        record.endedTasks /= 2;
        record.excessFailures /= 2;
    }
    record.endedTasks += 1;
}

WorkerHealth::FailingJob& WorkerHealth::failingJob(const JobKey& job)
{
    const auto [entry, isNew] = m_failingJobs.try_emplace(job);
    if (!isNew)
        return entry->second;
    m_recentFailingJobs.push_front(job);
    entry->second.recency = m_recentFailingJobs.begin();
    if (m_failingJobs.size() > maxFailingJobs) {
        m_failingJobs.erase(m_recentFailingJobs.back());
        m_recentFailingJobs.pop_back();
    }
    return m_failingJobs.at(job);
}

void WorkerHealth::chargeFailure(const WorkerName& worker, WorkerRecord& record, const JobKey& job, double amount)
{
    FailingJob& failing = failingJob(job);
    const bool isAlreadyCharged = std::any_of(failing.failures.begin(), failing.failures.end(),
        [&](const ChargedFailure& other) { return other.worker == worker; });
    if (isAlreadyCharged)
        return;
    failing.failures.push_back({ worker, amount });
    record.excessFailures += amount;
    if (failing.failures.size() < minWorkersForJobFault)
        return;
    for (ChargedFailure& other : failing.failures) {
        const auto charged = m_workers.find(other.worker);
        if (charged != m_workers.end())
            charged->second.excessFailures = std::max(0.0, charged->second.excessFailures - other.amount);
        other.amount = 0;
    }
}

bool WorkerHealth::shouldQuarantine(const WorkerRecord& record)
{
    return record.excessFailures >= minExcessFailures && record.excessFailures >= minExcessShare * record.endedTasks;
}

void WorkerHealth::quarantine(WorkerRecord& record, absl::Time now)
{
    record.isQuarantined = true;
    record.isProbing = false;
    record.backoff = record.backoff == absl::ZeroDuration() ? firstBackoff : std::min(record.backoff * 2, maxBackoff);
    record.probeAt = now + record.backoff;
}

} // namespace mangohall
