// A simulated processor of one node: how long its work keeps it busy, on the simulated clock.
#pragma once

#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "batch/policy/allocation_policy_base.h"
#include "cluster/timeline_base.h"

namespace mangohall::batch {

// The processor time that a node's work costs.
struct ProcessorCost {
    absl::Duration perEvent;
    // The cost of each allocation round.
    absl::Duration perAllocation;
    // The cost of each worker that an allocation round examines.
    absl::Duration perWorkerExamined;
};

// A clock that runs ahead of the timeline while an event is handled, by the time spent on the event so far.
class Processor : public Clock {
public:
    Processor(const Timeline& timeline, ProcessorCost cost)
        : m_timeline(timeline)
        , m_cost(cost)
    {
    }

    absl::Time now() const override { return m_timeline.now() + m_spent; }

    void spendEvent() { m_spent += m_cost.perEvent; }
    void spendAllocation(std::int64_t workersExamined)
    {
        m_spent += m_cost.perAllocation + m_cost.perWorkerExamined * workersExamined;
    }

    // Returns the time spent since the last call, and resets it.
    absl::Duration takeSpent() { return std::exchange(m_spent, absl::ZeroDuration()); }

private:
    const Timeline& m_timeline;
    const ProcessorCost m_cost;
    absl::Duration m_spent;
};

// Decides like another policy, and spends processor time on it.
class CostlyPolicy : public AllocationPolicy {
public:
    CostlyPolicy(std::unique_ptr<AllocationPolicy> policy, Processor& processor)
        : m_policy(std::move(policy))
        , m_processor(processor)
    {
    }

    Allocation allocate(
        std::vector<WorkerCapacity>& workers, absl::Span<const PendingStep> pendingSteps, absl::Time now) const override
    {
        Allocation allocation = m_policy->allocate(workers, pendingSteps, now);
        m_processor.spendAllocation(allocation.workersExamined);
        return allocation;
    }

private:
    const std::unique_ptr<AllocationPolicy> m_policy;
    Processor& m_processor;
};

} // namespace mangohall::batch
