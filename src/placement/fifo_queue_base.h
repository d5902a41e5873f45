// The baseline waiting queue: first in, first out.
#pragma once

#include <list>

#include "absl/container/flat_hash_map.h"
#include "placement/shape_count_base.h"
#include "placement/waiting_queue_base.h"

namespace mangohall {

// Serves requests in order of arrival and ignores priorities. Limits the number of waiting requests of each
// organisation as FairQueue does.
class FifoQueue : public WaitingQueue {
public:
    void setOrganisations(absl::Span<const Organisation> organisations) override;
    Organisation organisation(const OrganisationName& name) const override;
    absl::Status testPush(const WaitingRequest& request) const override;
    absl::Status push(const WaitingRequest& request) override;
    bool remove(const AttemptId& attempt) override;
    bool contains(const AttemptId& attempt) const override { return m_positions.contains(attempt); }
    // Does nothing: the order does not depend on past use.
    void charge(const OrganisationName& organisation, absl::Duration acceleratorTime, absl::Time now) override;
    void visit(absl::Time now, CandidateVisitor& visitor) override;
    std::size_t size() const override { return m_positions.size(); }
    std::vector<Shape> shapes() const override { return m_shapes.shapes(); }

private:
    using Requests = std::list<WaitingRequest>;

    // In order of arrival.
    Requests m_requests;
    absl::flat_hash_map<AttemptId, Requests::iterator> m_positions;
    absl::flat_hash_map<OrganisationName, Organisation> m_organisations;
    // Number of waiting requests by organisation.
    absl::flat_hash_map<OrganisationName, int> m_waitingCounts;
    ShapeCount m_shapes;
};

} // namespace mangohall
