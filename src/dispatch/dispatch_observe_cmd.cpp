// Observations that a dispatcher reports to operators.
#include <utility>

#include "core/time_const.h"
#include "dispatch/dispatcher_base.h"
#include "job/job_func.h"

namespace mangohall {

void Dispatcher::observeReclaim(const DispatchPart& part, absl::Time now)
{
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::Reclaim;
    observation.organisation = part.attempt.job.organisation;
    observation.service = part.spec.service;
    observation.shard = m_name;
    observation.subject = toText(part.attempt.job);
    observation.duration = now - part.reclaimStartedAt;
    observation.epoch = m_epoch;
    observation.isWithinObjective = observation.duration <= urgentStartBound;
    m_outbox.observe(std::move(observation));
}

void Dispatcher::observeShortfalls()
{
    absl::btree_map<GuaranteeName, int> missing;
    for (const GuaranteeShortfall& shortfall : m_pool->shortfalls())
        missing[shortfall.guarantee] = shortfall.missingCells;
    if (missing == m_reportedShortfalls)
        return;
    for (const auto& [guarantee, cells] : missing) {
        const auto reported = m_reportedShortfalls.find(guarantee);
        if (reported == m_reportedShortfalls.end() || reported->second != cells)
            observeShortfall(guarantee, cells);
    }
    for (const auto& [guarantee, cells] : m_reportedShortfalls) {
        if (!missing.contains(guarantee))
            observeShortfall(guarantee, 0);
    }
    m_reportedShortfalls = std::move(missing);
}

void Dispatcher::observeShortfall(const GuaranteeName& guarantee, int missingCells)
{
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::GuaranteeShortfall;
    observation.shard = m_name;
    observation.subject = guarantee.str();
    observation.epoch = m_epoch;
    observation.isWithinObjective = missingCells == 0;
    observation.outcome = missingCells == 0 ? ErrorKind::None : ErrorKind::GuaranteeDoesNotPack;
    const auto declared = m_directory->guarantees.find(guarantee);
    if (declared != m_directory->guarantees.end())
        observation.organisation = declared->second.organisation;
    m_outbox.observe(std::move(observation));
}

} // namespace mangohall
