#include "placement/reservation_table_base.h"

#include <algorithm>

#include "job/job_func.h"
#include "placement/task_spread_func.h"
#include "placement/worker_usage_func.h"

namespace mangohall {
namespace {

// A run past its expected end is expected to last this fraction of its run time so far longer, but at least a second.
constexpr double overrunFraction = 0.25;

// The expected release of accelerators on a worker.
struct Release {
    absl::Time at;
    std::int32_t accelerators = 0;
};

// The accelerators that a worker can offer now, and the expected releases.
struct WorkerForecast {
    const WorkerUsage* worker = nullptr;
    std::int32_t accelerators = 0;
    std::vector<Release> releases;

    std::int32_t acceleratorsAt(absl::Time time) const
    {
        std::int32_t free = accelerators;
        for (const Release& release : releases)
            free += release.at <= time ? release.accelerators : 0;
        return free;
    }
};

// When the occupancy is expected to end.
absl::Time expectedRelease(const Occupancy& occupancy, absl::Time now)
{
    if (occupancy.expectedEndAt > now)
        return occupancy.expectedEndAt;
    return now + std::max(absl::Seconds(1), (now - occupancy.startedAt) * overrunFraction);
}

WorkerForecast forecastOf(const CapacityLedger& ledger, const WorkerUsage& worker, bool mayOverlapCells, absl::Time now)
{
    WorkerForecast forecast { &worker, freeAccelerators(worker), {} };
    // Work that cannot be evicted may not use accelerators of a guarantee, whether they are in use or not.
    if (!mayOverlapCells)
        forecast.accelerators = std::min(forecast.accelerators, bindableAccelerators(worker));
    for (const auto& [attempt, tasks] : worker.tasks) {
        const Occupancy& occupancy = ledger.attempts().at(attempt).occupancy;
        const bool usesCell = !occupancy.guarantee.empty();
        const std::int32_t accelerators = tasks * occupancy.demandPerTask.accelerators;
        if (accelerators > 0 && (mayOverlapCells || !usesCell))
            forecast.releases.push_back({ expectedRelease(occupancy, now), accelerators });
    }
    return forecast;
}

// The capacity of each worker for tasks with `perTask` accelerators at the given time.
std::vector<TaskCapacity> capacitiesAt(
    absl::Span<const WorkerForecast> forecasts, std::int32_t perTask, absl::Time time)
{
    std::vector<TaskCapacity> capacities;
    for (const WorkerForecast& forecast : forecasts) {
        const std::int32_t tasks = std::max(0, forecast.acceleratorsAt(time)) / perTask;
        if (tasks > 0)
            capacities.push_back({ forecast.worker, tasks, tasks, -forecast.accelerators });
    }
    return capacities;
}

// Now and the times of all releases, sorted and without duplicates.
std::vector<absl::Time> releaseTimes(absl::Span<const WorkerForecast> forecasts, absl::Time now)
{
    std::vector<absl::Time> times { now };
    for (const WorkerForecast& forecast : forecasts) {
        for (const Release& release : forecast.releases)
            times.push_back(release.at);
    }
    std::sort(times.begin(), times.end());
    times.erase(std::unique(times.begin(), times.end()), times.end());
    return times;
}

} // namespace

absl::optional<absl::Time> ReservationTable::reserve(
    const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now)
{
    if (request.demandPerTask.accelerators <= 0)
        return absl::nullopt;
    for (Reservation& reservation : m_reservations) {
        if (reservation.attempt != request.attempt)
            continue;
        refresh(reservation, ledger, request, now);
        return reservation.startsAt;
    }
    absl::optional<Reservation> planned = plan(ledger, request, now);
    if (!planned.has_value())
        return absl::nullopt;
    m_reservations.push_back(*std::move(planned));
    return m_reservations.back().startsAt;
}

void ReservationTable::drop(const AttemptId& attempt)
{
    std::erase_if(m_reservations, [&](const Reservation& reservation) { return reservation.attempt == attempt; });
}

void ReservationTable::dropForWorker(const WorkerName& worker)
{
    std::erase_if(
        m_reservations, [&](const Reservation& reservation) { return reservation.reserved.contains(worker); });
}

std::vector<AttemptId> ReservationTable::attempts() const
{
    std::vector<AttemptId> attempts;
    for (const Reservation& reservation : m_reservations)
        attempts.push_back(reservation.attempt);
    return attempts;
}

std::int32_t ReservationTable::unreservedAccelerators(const PlacementRequest& request, const WorkerUsage& worker) const
{
    std::int32_t reserved = 0;
    for (const Reservation& reservation : m_reservations) {
        const bool isAffected = reservation.attempt != request.attempt && request.expectedEndAt > reservation.startsAt;
        const auto found = reservation.reserved.find(worker.vm.worker);
        if (isAffected && found != reservation.reserved.end())
            reserved += found->second;
    }
    return std::max(0, freeAccelerators(worker) - reserved);
}

std::int32_t ReservationTable::reservedByOthers(const AttemptId& attempt, const WorkerName& worker) const
{
    std::int32_t reserved = 0;
    for (const Reservation& reservation : m_reservations) {
        const auto found = reservation.reserved.find(worker);
        if (reservation.attempt != attempt && found != reservation.reserved.end())
            reserved += found->second;
    }
    return reserved;
}

absl::optional<ReservationTable::Reservation> ReservationTable::plan(
    const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now) const
{
    std::vector<WorkerForecast> forecasts;
    for (const auto& [rackName, rack] : ledger.racks()) {
        for (const WorkerUsage* worker : rack.workers) {
            if (!worker->isAvailable)
                continue;
            forecasts.push_back(forecastOf(ledger, *worker, isEvictable(request.spec), now));
            forecasts.back().accelerators -= reservedByOthers(request.attempt, worker->vm.worker);
        }
    }
    const std::int32_t perTask = request.demandPerTask.accelerators;
    const std::vector<absl::Time> times = releaseTimes(forecasts, now);
    const auto fits = [&](absl::Time time) {
        return spreadTasks(request.spec.shape, capacitiesAt(forecasts, perTask, time)).has_value();
    };
    const auto first = std::partition_point(times.begin(), times.end(), [&](absl::Time time) { return !fits(time); });
    if (first == times.end())
        return absl::nullopt;
    const absl::optional<std::vector<TaskShare>> shares
        = spreadTasks(request.spec.shape, capacitiesAt(forecasts, perTask, *first));
    Reservation reservation { request.attempt, *first, {} };
    for (const TaskShare& share : *shares)
        reservation.reserved[share.worker->vm.worker] = share.tasks * perTask;
    return reservation;
}

void ReservationTable::refresh(
    Reservation& reservation, const CapacityLedger& ledger, const PlacementRequest& request, absl::Time now) const
{
    absl::Time startsAt = now;
    for (const auto& [name, reserved] : reservation.reserved) {
        const auto worker = ledger.workers().find(name);
        if (worker == ledger.workers().end())
            continue;
        const WorkerForecast forecast = forecastOf(ledger, worker->second, isEvictable(request.spec), now);
        const std::vector<absl::Time> times = releaseTimes({ &forecast, 1 }, now);
        const std::int32_t needed = reserved;
        const auto first = std::partition_point(
            times.begin(), times.end(), [&](absl::Time time) { return forecast.acceleratorsAt(time) < needed; });
        if (first != times.end())
            startsAt = std::max(startsAt, *first);
    }
    reservation.startsAt = startsAt;
}

} // namespace mangohall
