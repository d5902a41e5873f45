#pragma once

#include <vector>

#include "absl/container/btree_map.h"
#include "absl/types/span.h"
#include "batch/store/record_type.h"

namespace mangohall::batch {

// The data centres that operators have asked to evacuate. No run is started on the workers of such a data centre until
// the operators withdraw the request; runs that are there already go on. Several data centres may be evacuated at the
// same time. Not safe to call from several threads, unless none of them changes it.
class EvacuationSet {
public:
    // A request that has come into force, or was withdrawn.
    struct Change {
        DataCentreName dataCentre;
        bool isEvacuated = false;
        // The store revision of the request.
        Revision revision = 0;
    };

    // Applies the evacuation records among the records and returns what has changed. If the records are complete, every
    // request that is not among them was withdrawn. A request counts as soon as its record exists, whatever its value.
    std::vector<Change> apply(absl::Span<const Record> records, bool isComplete);

    bool contains(const DataCentreName& dataCentre) const { return m_requests.contains(dataCentre); }

private:
    using Requests = absl::btree_map<DataCentreName, Revision>;

    // Adds the records to the requests, or removes those that were deleted.
    static void applyRecords(absl::Span<const Record> records, Requests& requests);

    // The store revision of each request, by data centre.
    Requests m_requests;
};

} // namespace mangohall::batch
