#include "batch/owner/demand_func.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

namespace mangohall::batch {

namespace {

// An accelerator that is kept busy in vain costs as much as this many cores.
constexpr double coresPerAccelerator = 8;
constexpr double millisPerCore = 1000;
// The work that a task with checkpoints loses at most.
constexpr absl::Duration checkpointPeriod = absl::Seconds(2);
// What stopping a run takes.
constexpr absl::Duration stopTime = absl::Milliseconds(600);
constexpr std::int32_t urgentPriority = 0;
// So long before its guarantee wants it started, work evicts others that are as urgent as itself.
constexpr absl::Duration reclaimLead = absl::Milliseconds(2500);

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

Occupant occupantOf(
    const RunKey& run, const RunSlot& slot, const JobBook& book, const JobNames& covered, absl::Time now)
{
    Occupant occupant;
    occupant.run = run;
    occupant.demand = slot.demand;
    occupant.isStopping = slot.isStopWanted;
    const JobEntry* entry = book.find(run.task.job);
    if (entry == nullptr || entry->progress.find(run.task.task) == nullptr)
        return occupant;
    const StepSpec& spec = entry->progress.stepSpec(run.task.task.step);
    occupant.priority = entry->progress.job().terms.priority;
    occupant.mayBeEvicted = !spec.isLasting;
    occupant.isGang = spec.isGang;
    occupant.isGuaranteed = covered.contains(run.task.job.text());
    occupant.stopCost = stopCostOf(spec, slot, now);
    return occupant;
}

WorkerRoom roomOf(const WorkerSession& session, const JobBook& book, const JobNames& covered, absl::Time now)
{
    const WorkerEntry& entry = session.entry();
    WorkerRoom room;
    room.worker = entry.name;
    room.service = entry.service;
    room.rack = entry.rack;
    room.labels = entry.labels;
    room.free = session.freeRoom();
    room.freeAfterStops = session.roomAfterStops();
    room.suspicion = session.health().suspicion();
    room.occupants.reserve(session.runs().size());
    for (const auto& [run, slot] : session.runs()) {
        room.occupants.push_back(occupantOf(run, slot, book, covered, now));
        // To wait for a run that is about to end takes no longer than to stop another.
        Occupant& occupant = room.occupants.back();
        if (occupant.isStopping || WorkerSession::remainingOf(slot, now) > stopTime)
            continue;
        occupant.isStopping = true;
        room.freeAfterStops += occupant.demand;
    }
    return room;
}

// The accelerators that a job needs at its widest.
std::int32_t acceleratorNeed(const Job& job)
{
    std::int32_t need = 0;
    for (const StepSpec& step : job.spec.steps)
        need += step.taskCount * step.demand.accelerators;
    return need;
}

// The jobs of priority 0 that their organisations' guarantees cover, earliest first.
JobNames coveredJobs(absl::Span<JobEntry* const> entries, const RouteTable* routes)
{
    JobNames covered;
    absl::flat_hash_map<std::string, std::int32_t> used;
    for (const JobEntry* entry : entries) {
        const Job& job = entry->progress.job();
        if (routes == nullptr || job.terms.priority != urgentPriority)
            continue;
        std::int32_t& usedHere = used[job.organisation.str()];
        usedHere += acceleratorNeed(job);
        if (usedHere <= routes->guaranteedAccelerators(job.organisation))
            covered.insert(job.id.str());
    }
    return covered;
}

std::vector<JobEntry*> openEntries(JobBook& book)
{
    std::vector<JobEntry*> entries;
    for (auto& [id, entry] : book.entries()) {
        if (!entry.progress.isFinal())
            entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(), [](const JobEntry* left, const JobEntry* right) {
        return left->progress.job().acceptedAt < right->progress.job().acceptedAt;
    });
    return entries;
}

absl::Time objectiveOf(const JobProgress& progress, std::int32_t occurrence)
{
    const Job& job = progress.job();
    absl::Time begin = job.acceptedAt;
    if (job.spec.firstDue != absl::InfinitePast())
        begin = std::max(begin, job.spec.firstDue + job.spec.period * occurrence);
    return begin + progress.chainEstimate() * job.terms.stretchFactor + job.terms.latencyAllowance;
}

// Whether the demand is of a first step of a job without times, and some of its tasks have never been started.
bool isFirstStart(const JobProgress& progress, const StepDemand& demand)
{
    const Job& job = progress.job();
    if (!demand.spec->after.empty() || demand.occurrence != 0 || job.spec.firstDue != absl::InfinitePast())
        return false;
    return std::any_of(demand.indices.begin(), demand.indices.end(), [&](std::int32_t index) {
        return progress.nextAttempt({ demand.occurrence, demand.step, index }) == 1;
    });
}

// The bound counts from the acceptance, which the clock of another node has noted.
absl::Time startByOf(const JobProgress& progress, const StepDemand& demand, absl::Duration guaranteeBound)
{
    absl::Time waitsSince = demand.readySince;
    if (isFirstStart(progress, demand))
        waitsSince = std::clamp(progress.job().acceptedAt, demand.readySince - guaranteeBound, demand.readySince);
    return waitsSince + guaranteeBound;
}

StepDemand demandOf(JobEntry& entry, ReadyStep ready, absl::Time now)
{
    const JobProgress& progress = entry.progress;
    StepDemand demand;
    demand.job = progress.job().id;
    demand.occurrence = ready.occurrence;
    demand.step = ready.step;
    demand.indices = std::move(ready.indices);
    demand.spec = &progress.stepSpec(ready.step);
    demand.service = progress.job().service;
    demand.priority = progress.job().terms.priority;
    demand.objective = objectiveOf(progress, ready.occurrence);
    demand.readySince = entry.readySince.try_emplace({ ready.occurrence, ready.step }, now).first->second;
    return demand;
}

std::vector<WorkerRoom> roomsOf(const Fleet& fleet, const JobBook& book, const JobNames& covered, absl::Time now)
{
    std::vector<WorkerRoom> rooms;
    rooms.reserve(fleet.sessions().size());
    for (const auto& [name, session] : fleet.sessions()) {
        if (session.takesWork(now) && !session.health().isSick(now))
            rooms.push_back(roomOf(session, book, covered, now));
    }
    return rooms;
}

std::vector<StepDemand> demandsOf(
    absl::Span<JobEntry* const> entries, const JobNames& covered, absl::Duration guaranteeBound, absl::Time now)
{
    std::vector<StepDemand> demands;
    for (JobEntry* entry : entries) {
        for (ReadyStep& ready : entry->progress.readySteps()) {
            demands.push_back(demandOf(*entry, std::move(ready), now));
            StepDemand& demand = demands.back();
            demand.isGuaranteed = covered.contains(entry->progress.job().id.text());
            if (!demand.isGuaranteed)
                continue;
            demand.startBy = startByOf(entry->progress, demand, guaranteeBound);
            demand.mayReclaim = now >= demand.startBy - reclaimLead;
        }
    }
    return demands;
}

} // namespace

AllocationInput describeAllocation(
    const Fleet& fleet, JobBook& book, const RouteTable* routes, absl::Duration guaranteeBound, absl::Time now)
{
    const std::vector<JobEntry*> entries = openEntries(book);
    const JobNames covered = coveredJobs(entries, routes);
    AllocationInput input;
    input.demands = demandsOf(entries, covered, guaranteeBound, now);
    if (!input.demands.empty())
        input.rooms = roomsOf(fleet, book, covered, now);
    return input;
}

} // namespace mangohall::batch
