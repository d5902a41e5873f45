#include "policy_trial_base.h"

#include <algorithm>

#include "job/job_func.h"

namespace mangohall {
namespace {

// Time from the request to evict a borrower to its confirmation. Covers the checkpoint and the stop of the borrower.
constexpr absl::Duration evictionTime = absl::Seconds(2);
// The time limit from arrival to start for jobs that reclaim guaranteed capacity.
constexpr absl::Duration reclaimStartLimit = absl::Milliseconds(5500);
constexpr absl::Duration samplePeriod = absl::Seconds(10);

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

// The waiting queue and the placement pool of one shard, with the scheduling pass over both.
class PolicyTrial::Shard : private PlacementSink {
public:
    Shard(PolicyTrial& trial, std::size_t index)
        : m_trial(trial)
        , m_name(trial.m_plan.shards[index])
        , m_queue(trial.m_policy.isBaseline ? makeFifoQueue() : makeFairQueue())
        , m_pool(trial.m_policy.isBaseline ? makeFirstFitPool(m_name) : makeCellPool(m_name))
        , m_pass(*m_queue, *m_pool, m_settings, *this)
    {
        m_settings.completionWeight = trial.m_policy.completionWeight;
        m_queue->setOrganisations(trial.m_plan.organisations);
        m_pool->setServices(trial.m_plan.services);
        m_pool->setPolicy(m_settings);
        m_pool->setGuarantees(trial.m_plan.guarantees);
        for (const VmEntry& worker : trial.m_plan.workers[index])
            m_pool->setWorker(worker, "run", true);
    }

    const ShardName& name() const { return m_name; }
    WaitingQueue& queue() { return *m_queue; }
    PlacementPool& pool() { return *m_pool; }
    bool isPassRequested() const { return m_isPassRequested; }
    void requestPass() { m_isPassRequested = true; }

    void runPass(absl::Time now)
    {
        m_isPassRequested = false;
        m_decisions.clear();
        m_pass.run(now);
        // The decisions are applied after the pass because the pool must not change during it.
        const std::vector<Decision> decisions = std::move(m_decisions);
        for (const Decision& decision : decisions)
            m_trial.applyPlacement(decision.job, decision.choice);
    }

private:
    struct Decision {
        std::size_t job;
        PlacementDecision choice;
    };

    void placed(const WaitingRequest& waiting, const PlacementDecision& choice) override
    {
        m_decisions.push_back({ m_trial.m_jobsByKey.at(waiting.request.attempt.job), choice });
    }

    PolicyTrial& m_trial;
    ShardName m_name;
    Policy m_settings;
    std::unique_ptr<WaitingQueue> m_queue;
    std::unique_ptr<PlacementPool> m_pool;
    SchedulingPass m_pass;
    std::vector<Decision> m_decisions;
    bool m_isPassRequested = false;
};

PolicyTrial::PolicyTrial(const TrialPlan& plan, const TrialPolicy& policy)
    : m_plan(plan)
    , m_policy(policy)
    , m_now(plan.startsAt)
    , m_jobs(plan.jobs.size())
    , m_openJobs(plan.jobs.size())
{
    for (std::size_t index = 0; index < plan.shards.size(); ++index)
        m_shards.push_back(std::make_unique<Shard>(*this, index));
}

PolicyTrial::~PolicyTrial() = default;

TrialMetrics PolicyTrial::run()
{
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        m_jobsByKey[m_plan.jobs[job].key] = job;
        m_jobs[job].remaining = m_plan.jobs[job].runTime;
        schedule(m_plan.jobs[job].arrivesAt, [this, job] { submit(job); });
    }
    for (const WorkerOutage& outage : m_plan.outages)
        schedule(outage.startsAt, [this, &outage] { startOutage(outage); });
    schedule(m_plan.startsAt + samplePeriod, [this] { sampleFragmentation(); });
    while (m_openJobs > 0 && !m_actions.empty()) {
        m_now = m_actions.begin()->first;
        while (!m_actions.empty() && m_actions.begin()->first == m_now) {
            const Action action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        for (const std::unique_ptr<Shard>& shard : m_shards) {
            if (shard->isPassRequested())
                shard->runPass(m_now);
        }
    }
    return metrics();
}

void PolicyTrial::schedule(absl::Time time, Action action)
{
    m_actions.emplace(time, std::move(action));
}

AttemptId PolicyTrial::attemptOf(std::size_t job) const
{
    return { m_plan.jobs[job].key, m_jobs[job].attempt };
}

void PolicyTrial::submit(std::size_t job)
{
    const TrialJob& planned = m_plan.jobs[job];
    Shard& shard = *m_shards[planned.shard];
    WaitingRequest waiting;
    waiting.request.attempt = attemptOf(job);
    waiting.request.spec = planned.spec;
    waiting.request.demandPerTask
        = { planned.spec.cpuMillisPerTask, planned.spec.memoryBytesPerTask, planned.spec.shape.acceleratorsPerTask };
    waiting.acceptedAt = planned.arrivesAt;
    waiting.deadline = planned.arrivesAt + planned.spec.deadline;
    waiting.expectedRunTime = m_policy.isBaseline ? planned.spec.expectedRunTime
                                                  : m_estimator.medianRunTime(planned.key.organisation, planned.spec);
    waiting.isGuaranteed = fitsInGuarantee(waiting.request, shard.name(), m_plan.guarantees);
    if (!shard.queue().push(waiting).ok())
        std::abort();
    shard.requestPass();
}

void PolicyTrial::applyPlacement(std::size_t job, const PlacementDecision& choice)
{
    JobState& state = m_jobs[job];
    state.placement = choice.placement;
    state.pendingEvictions = 0;
    for (const AttemptId& attempt : choice.evictions) {
        const std::size_t borrower = m_jobsByKey.at(attempt.job);
        ++state.pendingEvictions;
        m_jobs[borrower].waitingAttempts.push_back({ job, state.attempt });
        evict(borrower);
    }
    if (state.pendingEvictions == 0)
        start(job);
}

void PolicyTrial::start(std::size_t job)
{
    JobState& state = m_jobs[job];
    state.isRunning = true;
    state.startedAt = m_now;
    if (m_plan.jobs[job].isReclaim && m_now - m_plan.jobs[job].arrivesAt <= reclaimStartLimit)
        state.isReclaimedInTime = true;
    const std::int32_t attempt = state.attempt;
    schedule(m_now + state.remaining, [this, job, attempt] { end(job, attempt); });
}

void PolicyTrial::end(std::size_t job, std::int32_t attempt)
{
    JobState& state = m_jobs[job];
    if (state.attempt != attempt || !state.isRunning)
        return;
    recordWork(job, state.remaining);
    state.endedAt = m_now;
    m_estimator.observeRun(m_plan.jobs[job].key.organisation, m_plan.jobs[job].spec, m_plan.jobs[job].runTime);
    release(job);
    --m_openJobs;
}

void PolicyTrial::evict(std::size_t job)
{
    JobState& state = m_jobs[job];
    if (state.isBeingEvicted)
        return;
    state.isBeingEvicted = true;
    const std::int32_t attempt = state.attempt;
    schedule(m_now + evictionTime, [this, job, attempt] { finishEviction(job, attempt); });
}

void PolicyTrial::finishEviction(std::size_t job, std::int32_t attempt)
{
    JobState& state = m_jobs[job];
    if (state.attempt != attempt || state.endedAt != absl::InfiniteFuture())
        return;
    if (state.isRunning) {
        const absl::Duration elapsed = m_now - state.startedAt;
        recordWork(job, elapsed);
        state.remaining -= elapsed;
    }
    release(job);
    submit(job);
}

void PolicyTrial::release(std::size_t job)
{
    JobState& state = m_jobs[job];
    Shard& shard = *m_shards[m_plan.jobs[job].shard];
    shard.pool().vacateAll(attemptOf(job));
    shard.requestPass();
    state.isRunning = false;
    state.isBeingEvicted = false;
    state.placement.clear();
    ++state.attempt;
    const std::vector<WaitingAttempt> resumed = std::exchange(state.waitingAttempts, {});
    for (const WaitingAttempt& waitingAttempt : resumed) {
        if (m_jobs[waitingAttempt.job].attempt == waitingAttempt.attempt
            && --m_jobs[waitingAttempt.job].pendingEvictions == 0)
            start(waitingAttempt.job);
    }
}

void PolicyTrial::startOutage(const WorkerOutage& outage)
{
    Shard& shard = *m_shards[outage.shard];
    const auto entry = std::find_if(m_plan.workers[outage.shard].begin(), m_plan.workers[outage.shard].end(),
        [&](const VmEntry& vm) { return vm.worker == outage.worker; });
    shard.pool().removeWorker(outage.worker);
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        const std::vector<TaskPlacement>& placement = m_jobs[job].placement;
        const bool usesLostWorker = std::any_of(placement.begin(), placement.end(),
            [&](const TaskPlacement& task) { return task.worker == outage.worker; });
        if (!usesLostWorker)
            continue;
        release(job);
        submit(job);
    }
    schedule(outage.endsAt, [&shard, entry] {
        shard.pool().setWorker(*entry, "run", true);
        shard.requestPass();
    });
    shard.requestPass();
}

void PolicyTrial::sampleFragmentation()
{
    std::int32_t idle = 0;
    std::int32_t unusable = 0;
    for (const std::unique_ptr<Shard>& shard : m_shards) {
        const Fragmentation fragmentation = shard->pool().fragmentation(shard->queue().shapes());
        idle += fragmentation.idleAccelerators;
        unusable += fragmentation.unusableAccelerators;
        shard->requestPass();
    }
    if (idle > 0) {
        m_fragmentationSum += static_cast<double>(unusable) / idle;
        ++m_fragmentationSamples;
    }
    if (m_now + samplePeriod <= m_plan.endsAt)
        schedule(m_now + samplePeriod, [this] { sampleFragmentation(); });
}

void PolicyTrial::recordWork(std::size_t job, absl::Duration elapsed)
{
    // Utilisation covers only the time in which jobs arrive.
    const absl::Time from = m_now - elapsed;
    const absl::Duration counted = std::min(m_now, m_plan.endsAt) - from;
    if (counted > absl::ZeroDuration())
        m_usefulAcceleratorSeconds
            += absl::ToDoubleSeconds(counted) * static_cast<double>(totalAccelerators(m_plan.jobs[job].spec.shape));
}

TrialMetrics PolicyTrial::metrics() const
{
    std::vector<double> completions;
    std::vector<double> deadlineCompletions;
    std::vector<double> deadlineRunTimes;
    int reclaims = 0;
    TrialMetrics metrics;
    for (std::size_t job = 0; job < m_jobs.size(); ++job) {
        const TrialJob& planned = m_plan.jobs[job];
        const absl::Duration completionTime = m_jobs[job].endedAt - planned.arrivesAt;
        completions.push_back(absl::ToDoubleMilliseconds(completionTime));
        if (planned.spec.deadline != absl::InfiniteDuration()) {
            deadlineCompletions.push_back(completions.back());
            deadlineRunTimes.push_back(absl::ToDoubleMilliseconds(planned.runTime));
            metrics.deadlinesMissed += completionTime > planned.spec.deadline ? 1 : 0;
        }
        reclaims += planned.isReclaim ? 1 : 0;
        metrics.reclaimSucceededShare += m_jobs[job].isReclaimedInTime ? 1 : 0;
    }
    metrics.completionMedianMs = quantile(completions, 0.5);
    metrics.completionP99Ms = quantile(deadlineCompletions, 0.99);
    metrics.completionFloorP99Ms = quantile(deadlineRunTimes, 0.99);
    metrics.fragmentation = m_fragmentationSamples == 0 ? 0 : m_fragmentationSum / m_fragmentationSamples;
    metrics.reclaimSucceededShare /= std::max(reclaims, 1);
    std::int64_t accelerators = 0;
    for (const std::vector<VmEntry>& workers : m_plan.workers) {
        for (const VmEntry& worker : workers)
            accelerators += worker.capacity.accelerators;
    }
    const double availableAcceleratorSeconds
        = static_cast<double>(accelerators) * absl::ToDoubleSeconds(m_plan.endsAt - m_plan.startsAt);
    metrics.utilisation = m_usefulAcceleratorSeconds / availableAcceleratorSeconds;
    return metrics;
}

} // namespace mangohall
