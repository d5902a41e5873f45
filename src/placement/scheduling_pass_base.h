// One scheduling pass over the waiting requests of a shard.
#pragma once

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "configuration/configuration_type.h"
#include "placement/placement_pool_base.h"
#include "placement/waiting_queue_base.h"

namespace mangohall {

// Receives the decisions of a pass. It must change neither the queue nor the pool during the pass.
class PlacementSink {
public:
    virtual ~PlacementSink() = default;
    // The capacity of the choice has been allocated to the request. If the choice has evictions, the tasks may start
    // only once these attempts have been vacated.
    virtual void placed(const WaitingRequest& waiting, const PlacementDecision& choice) = 0;
};

// Places the waiting requests in the order of the queue. A request that does not fit is skipped. A large request that
// has waited long gets a reservation, so that requests that overtake it do not starve it.
class SchedulingPass : private CandidateVisitor {
public:
    // All arguments must outlive the pass.
    SchedulingPass(WaitingQueue& queue, PlacementPool& pool, const Policy& policy, PlacementSink& sink);

    void run(absl::Time now);

private:
    // Key of requests that are alike for placement: if one of them does not fit, none of them does.
    struct RequestClass {
        // Set only if cells may be tried, since other organisations cannot use them.
        OrganisationName organisation;
        ServiceName service;
        std::int32_t tasks = 0;
        Resources demandPerTask;
        Adjacency adjacency = Adjacency::Anywhere;
        bool isEvictable = false;
        // Whether the request is offered for its guaranteed cells only.
        bool isForCells = false;
        // Binary order of magnitude of the expected run time in seconds. Set only while there are reservations, since
        // only they make the run time matter.
        int runTimeScale = 0;

        friend bool operator==(const RequestClass&, const RequestClass&) = default;
        template <typename H> friend H AbslHashValue(H state, const RequestClass& key)
        {
            return H::combine(std::move(state), key.organisation, key.service, key.tasks, key.demandPerTask.cpuMillis,
                key.demandPerTask.memoryBytes, key.demandPerTask.accelerators, key.adjacency, key.isEvictable,
                key.isForCells);
        }
    };

    VisitResult visit(const WaitingRequest& candidate, WaitingStage stage) override;
    // Whether the organisation's limit on accelerators allows the request.
    bool isWithinQuota(const WaitingRequest& candidate) const;
    // Allocates the choice and reports it to the sink.
    VisitResult place(const WaitingRequest& candidate, const PlacementDecision& choice);
    // Reserves workers for a request that did not fit, if it has waited for reservationDelay() and there are not too
    // many reservations. Updates the reservation that it has.
    void reserveIfOverdue(const WaitingRequest& candidate, const PlacementRequest& request);
    // How long a request waits before it may get a reservation.
    absl::Duration reservationDelay() const;
    RequestClass classOf(const WaitingRequest& candidate, WaitingStage stage) const;
    bool isReserved(const AttemptId& attempt) const;

    WaitingQueue& m_queue;
    PlacementPool& m_pool;
    const Policy& m_policy;
    PlacementSink& m_sink;
    // The time of the pass.
    absl::Time m_now;
    // Classes of requests that did not fit in this pass.
    absl::flat_hash_set<RequestClass> m_unplaceableClasses;
    // The attempts that have a reservation. A plain vector, since there are only a few.
    std::vector<AttemptId> m_reserved;
};

// The occupancy of a request that starts now on the workers of the choice.
Occupancy occupancyOf(const WaitingRequest& waiting, const PlacementDecision& choice, absl::Time now);

// Whether the request's shape fits into the cells of one of its organisation's guarantees in the shard.
bool fitsInGuarantee(const PlacementRequest& request, const ShardName& shard, absl::Span<const Guarantee> guarantees);

} // namespace mangohall
