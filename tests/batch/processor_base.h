// The processor of one node on the paused clock: how long what the node does keeps it busy.
#pragma once

#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "batch/policy/allocation_policy_base.h"
#include "cluster/timeline_base.h"

namespace mangohall::batch {

// What a node's work costs of its own time.
struct ProcessorCost {
    absl::Duration perEvent;
    absl::Duration perChoice;
    // Each time that a choice looks at a worker's room.
    absl::Duration perRoomTried;
};

// Runs ahead of the timeline while an event is handled, by what has been spent on it so far.
class Processor : public Clock {
public:
    Processor(const Timeline& timeline, ProcessorCost cost)
        : m_timeline(timeline)
        , m_cost(cost)
    {
    }

    absl::Time now() const override { return m_timeline.now() + m_spent; }

    void spendEvent() { m_spent += m_cost.perEvent; }
    void spendChoice(std::int64_t roomsTried) { m_spent += m_cost.perChoice + m_cost.perRoomTried * roomsTried; }

    // What was spent since this was asked last.
    absl::Duration takeSpent() { return std::exchange(m_spent, absl::ZeroDuration()); }

private:
    const Timeline& m_timeline;
    const ProcessorCost m_cost;
    absl::Duration m_spent;
};

// Decides as another policy does, and takes the processor's time for it.
class CostlyPolicy : public AllocationPolicy {
public:
    CostlyPolicy(std::unique_ptr<AllocationPolicy> policy, Processor& processor)
        : m_policy(std::move(policy))
        , m_processor(processor)
    {
    }

    Allocation choose(
        std::vector<WorkerRoom>& rooms, absl::Span<const StepDemand> demands, absl::Time now) const override
    {
        Allocation allocation = m_policy->choose(rooms, demands, now);
        m_processor.spendChoice(allocation.roomsTried);
        return allocation;
    }

private:
    const std::unique_ptr<AllocationPolicy> m_policy;
    Processor& m_processor;
};

} // namespace mangohall::batch
