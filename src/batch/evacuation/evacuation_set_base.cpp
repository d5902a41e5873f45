#include "batch/evacuation/evacuation_set_base.h"

#include <utility>

namespace mangohall::batch {

void EvacuationSet::applyRecords(absl::Span<const Record> records, Requests& requests)
{
    for (const Record& record : records) {
        if (record.key.collection != Collection::Evacuations)
            continue;
        const DataCentreName dataCentre(record.key.name);
        if (std::holds_alternative<std::monostate>(record.value))
            requests.erase(dataCentre);
        else
            requests[dataCentre] = record.revision;
    }
}

std::vector<EvacuationSet::Change> EvacuationSet::apply(absl::Span<const Record> records, bool isComplete)
{
    Requests requests = isComplete ? Requests() : m_requests;
    applyRecords(records, requests);
    std::vector<Change> changes;
    for (const auto& [dataCentre, revision] : m_requests) {
        if (!requests.contains(dataCentre))
            changes.push_back({ dataCentre, false, revision });
    }
    for (const auto& [dataCentre, revision] : requests) {
        if (!m_requests.contains(dataCentre))
            changes.push_back({ dataCentre, true, revision });
    }
    m_requests = std::move(requests);
    return changes;
}

} // namespace mangohall::batch
