#include "batch/owner/allocation_input_func.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace mangohall::batch {

namespace {

// The work lost on one accelerator costs as much as the work lost on this many cores.
constexpr double coresPerAccelerator = 8;
constexpr double millisPerCore = 1000;
// The longest interval between checkpoints of a task, and so the most work that it loses.
constexpr absl::Duration checkpointPeriod = absl::Seconds(2);
// Time from the stop of a run until its capacity is free.
constexpr absl::Duration stopTime = absl::Milliseconds(600);
constexpr std::int32_t urgentPriority = 0;
// The largest number of steps of one job in an allocation round. A job with more takes turns among them.
constexpr std::size_t maxReadySteps = 256;
// A guaranteed step may evict work as urgent as itself from this long before its latest start.
constexpr absl::Duration reclaimLead = absl::Milliseconds(2500);

// Core-seconds of work that are lost if the run is stopped now; for a gang member, those of the whole gang.
double stopCostOf(const StepSpec& spec, const RunSlot& slot, absl::Time now)
{
    absl::Duration unsaved = now - slot.since;
    if (spec.isCheckpointing)
        unsaved = std::min(unsaved, checkpointPeriod);
    const double cores
        = static_cast<double>(spec.demand.cpuMillis) / millisPerCore + spec.demand.accelerators * coresPerAccelerator;
    const double members = spec.isGang ? spec.taskCount : 1;
    return absl::ToDoubleSeconds(unsaved) * cores * members;
}

using JobNames = absl::flat_hash_set<std::string>;

AllocatedRun describeRun(const RunKey& run, const RunSlot& slot, bool mayStillStart, const JobRegistry& jobs,
    const JobNames& guaranteed, absl::Time now)
{
    AllocatedRun allocatedRun;
    allocatedRun.run = run;
    allocatedRun.demand = slot.demand;
    allocatedRun.isStopping = slot.isStopWanted && !mayStillStart;
    const JobEntry* entry = jobs.find(run.task.job);
    if (entry == nullptr || entry->progress.find(run.task.task) == nullptr)
        return allocatedRun;
    const StepSpec& spec = entry->progress.stepSpec(run.task.task.step);
    allocatedRun.requiredLabel = spec.requiredLabel.get();
    allocatedRun.priority = entry->progress.job().terms.priority;
    allocatedRun.isEvictable = !spec.isLongRunning && !mayStillStart;
    allocatedRun.isGang = spec.isGang;
    allocatedRun.isGuaranteed = guaranteed.contains(run.task.job.text());
    allocatedRun.evictionCost = stopCostOf(spec, slot, now);
    return allocatedRun;
}

WorkerCapacity describeWorker(
    const WorkerSession& session, const JobRegistry& jobs, const JobNames& guaranteed, absl::Time now)
{
    const WorkerEntry& entry = session.entry();
    WorkerCapacity worker;
    worker.worker = entry.name;
    worker.service = entry.service;
    worker.rack = entry.rack;
    worker.labels = entry.labels;
    worker.free = session.freeCapacity();
    worker.freeAfterStops = session.freeCapacityAfterStops();
    worker.failureSuspicion = session.health().failureSuspicion();
    worker.runs.reserve(session.runs().size());
    for (const auto& [run, slot] : session.runs()) {
        worker.runs.push_back(describeRun(run, slot, session.mayStillStart(run), jobs, guaranteed, now));
        worker.runs.back().isEnding = WorkerSession::isAboutToEnd(slot, stopTime, now);
    }
    return worker;
}

// The accelerators of all steps of the job, as if they ran at the same time.
std::int32_t totalAccelerators(const Job& job)
{
    std::int32_t need = 0;
    for (const StepSpec& step : job.spec.steps)
        need += step.taskCount * step.demand.accelerators;
    return need;
}

// The jobs of priority 0 that their organisations' guarantees cover. A guarantee covers jobs in order of their
// acceptance, until its accelerators are used up.
JobNames guaranteedJobs(absl::Span<JobEntry* const> entries, const RouteTable* routes)
{
    JobNames guaranteed;
    absl::flat_hash_map<std::string, std::int32_t> used;
    for (const JobEntry* entry : entries) {
        const Job& job = entry->progress.job();
        if (routes == nullptr || job.terms.priority != urgentPriority)
            continue;
        std::int32_t& usedByOrganisation = used[job.organisation.str()];
        usedByOrganisation += totalAccelerators(job);
        if (usedByOrganisation <= routes->guaranteedAccelerators(job.organisation))
            guaranteed.insert(job.id.str());
    }
    return guaranteed;
}

std::vector<JobEntry*> unfinishedEntries(JobRegistry& jobs)
{
    std::vector<JobEntry*> entries;
    for (auto& [id, entry] : jobs.entries()) {
        if (!entry.progress.isFinal())
            entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [](const JobEntry* left, const JobEntry* right) {
        return left->progress.job().acceptedAt < right->progress.job().acceptedAt;
    });
    return entries;
}

// The target completion time of an occurrence of the job.
absl::Time targetEndOf(const JobProgress& progress, std::int32_t occurrence)
{
    const Job& job = progress.job();
    absl::Time begin = job.acceptedAt;
    if (job.spec.firstDue != absl::InfinitePast())
        begin = std::max(begin, job.spec.firstDue + job.spec.period * occurrence);
    return begin + progress.longestChainEstimate() * job.terms.stretchFactor + job.terms.latencyAllowance;
}

// Whether the step comes first in a job without scheduled times, and some of its tasks have never been started.
bool isFirstStart(const JobProgress& progress, const PendingStep& pending)
{
    const Job& job = progress.job();
    if (!pending.spec->after.empty() || pending.occurrence != 0 || job.spec.firstDue != absl::InfinitePast())
        return false;
    return std::any_of(pending.indices.begin(), pending.indices.end(), [&](std::int32_t index) {
        return progress.nextAttempt({ pending.occurrence, pending.step, index }) == 1;
    });
}

// The latest start that the guarantee allows. The wait of a first start begins at the acceptance. That time was taken
// on another node's clock, so it is clamped to the bound.
absl::Time startByOf(const JobProgress& progress, const PendingStep& pending, absl::Duration guaranteeBound)
{
    absl::Time waitingSince = pending.readySince;
    if (isFirstStart(progress, pending))
        waitingSince = std::clamp(progress.job().acceptedAt, pending.readySince - guaranteeBound, pending.readySince);
    return waitingSince + guaranteeBound;
}

// Whether a task of the job runs, by all that the workers have replied.
bool isAnyTaskRunning(const JobProgress& progress, const WorkerRegistry& workers)
{
    const std::vector<TaskRef> placed = progress.placedTasks();
    return std::any_of(placed.begin(), placed.end(), [&](const TaskRef& task) {
        const TaskProgress& found = *progress.find(task);
        const auto session = workers.sessions().find(found.worker);
        return session != workers.sessions().end()
            && session->second.isRunning({ { progress.job().id, task }, found.attempt });
    });
}

PendingStep describeStep(JobEntry& entry, ReadyStep ready, absl::Time now)
{
    const JobProgress& progress = entry.progress;
    PendingStep pending;
    pending.job = progress.job().id;
    pending.occurrence = ready.occurrence;
    pending.step = ready.step;
    pending.indices = std::move(ready.indices);
    pending.spec = &progress.stepSpec(ready.step);
    pending.service = progress.job().service;
    pending.priority = progress.job().terms.priority;
    pending.targetEnd = targetEndOf(progress, ready.occurrence);
    pending.readySince = entry.readySince.try_emplace({ ready.occurrence, ready.step }, now).first->second;
    // Each long-running task has to run, whether others of its job do or not.
    pending.isOverdue = pending.spec->isLongRunning ? now - pending.readySince >= JobWait::longestIdleTime
                                                    : entry.wait.isOverdue(now);
    return pending;
}

std::vector<WorkerCapacity> describeWorkers(
    const WorkerRegistry& workers, const JobRegistry& jobs, const JobNames& guaranteed, absl::Time now)
{
    std::vector<WorkerCapacity> usable;
    usable.reserve(workers.sessions().size());
    for (const auto& [name, session] : workers.sessions()) {
        if (session.acceptsWork(now) && !session.health().isQuarantined(now))
            usable.push_back(describeWorker(session, jobs, guaranteed, now));
    }
    return usable;
}

void addGuarantee(PendingStep& pending, const JobProgress& progress, absl::Duration guaranteeBound, absl::Time now)
{
    pending.isGuaranteed = true;
    pending.startBy = startByOf(progress, pending, guaranteeBound);
    pending.mayReclaim = now >= pending.startBy - reclaimLead;
}

// Removes the tasks from the step for which there is no memory left, and returns whether any is left; a gang is placed
// as a whole or not at all.
bool limitTasks(ReadyStep& step, bool isGang, std::int64_t& room)
{
    const auto count = static_cast<std::int64_t>(step.indices.size());
    if (count > room)
        step.indices.resize(isGang ? 0 : static_cast<std::size_t>(room));
    room -= static_cast<std::int64_t>(step.indices.size());
    return !step.indices.empty();
}

std::vector<PendingStep> describeSteps(absl::Span<JobEntry* const> entries, const WorkerRegistry& workers,
    const JobNames& guaranteed, absl::Duration guaranteeBound, std::int64_t roomForTasks, absl::Time now)
{
    std::vector<PendingStep> steps;
    for (JobEntry* entry : entries) {
        // A placement would not become durable.
        if (entry->isWrittenAlone)
            continue;
        std::vector<ReadyStep> ready = entry->progress.readySteps(entry->readyCursor, maxReadySteps);
        if (ready.empty())
            continue;
        if (isAnyTaskRunning(entry->progress, workers))
            entry->wait.recordRunning();
        else
            entry->wait.recordIdle(now);
        for (ReadyStep& step : ready) {
            if (!limitTasks(step, entry->progress.stepSpec(step.step).isGang, roomForTasks))
                continue;
            steps.push_back(describeStep(*entry, std::move(step), now));
            PendingStep& pending = steps.back();
            if (guaranteed.contains(entry->progress.job().id.text()))
                addGuarantee(pending, entry->progress, guaranteeBound, now);
            pending.wantsReason = entry->wait.takeReasonDue(pending.mayReclaim, now);
        }
    }
    return steps;
}

} // namespace

AllocationInput describeAllocation(const WorkerRegistry& workers, JobRegistry& jobs, const RouteTable* routes,
    absl::Duration guaranteeBound, absl::Time now)
{
    const std::vector<JobEntry*> entries = unfinishedEntries(jobs);
    const JobNames guaranteed = guaranteedJobs(entries, routes);
    AllocationInput input;
    input.pendingSteps = describeSteps(entries, workers, guaranteed, guaranteeBound, jobs.roomForTasks(), now);
    if (!input.pendingSteps.empty())
        input.workers = describeWorkers(workers, jobs, guaranteed, now);
    return input;
}

} // namespace mangohall::batch
