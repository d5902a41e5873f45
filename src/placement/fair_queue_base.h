// The waiting queue that orders requests by urgency, deadline and fair share.
#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "absl/container/flat_hash_map.h"
#include "placement/shape_count_base.h"
#include "placement/waiting_queue_base.h"

namespace mangohall {

// Keeps each request in one of these queues: the urgent queue, the deadline queue or the queue of its organisation. A
// guaranteed request is in the guaranteed queue as well. The queues are sorted on insertion, so that a visit sorts
// nothing.
class FairQueue : public WaitingQueue {
public:
    void setOrganisations(absl::Span<const Organisation> organisations) override;
    Organisation organisation(const OrganisationName& name) const override;
    absl::Status testPush(const WaitingRequest& request) const override;
    absl::Status push(const WaitingRequest& request) override;
    bool remove(const AttemptId& attempt) override;
    bool contains(const AttemptId& attempt) const override;
    void charge(const OrganisationName& organisation, absl::Duration acceleratorTime, absl::Time now) override;
    void visit(absl::Time now, CandidateVisitor& visitor) override;
    std::size_t size() const override { return m_entries.size(); }
    std::vector<Shape> shapes() const override { return m_shapes.shapes(); }

private:
    // Sort key of a request in a queue. The smallest key is served first.
    struct SortKey {
        // 1 for batch requests, which are served after all others; otherwise 0.
        int rank = 0;
        // The latest start at which the job can still meet its deadline.
        absl::Time latestStart;
        // Order of insertion.
        std::uint64_t sequence = 0;

        friend auto operator<=>(const SortKey& left, const SortKey& right)
        {
            return std::tie(left.rank, left.latestStart, left.sequence)
                <=> std::tie(right.rank, right.latestStart, right.sequence);
        }
    };

    using Queue = std::map<SortKey, const WaitingRequest*>;

    // A request with its positions in the queues.
    struct Entry {
        WaitingRequest waiting;
        // The urgent queue, the deadline queue or the queue of the organisation.
        Queue* queue = nullptr;
        Queue::iterator position;
        bool isInGuaranteedQueue = false;
        // Valid only if isInGuaranteedQueue.
        Queue::iterator guaranteedPosition;
    };

    // The limits, waiting requests and past use of an organisation.
    struct OrganisationState {
        Organisation limits;
        // Number of its requests in all queues, each counted once.
        std::size_t waiting = 0;
        // Its requests that are neither urgent nor have a deadline.
        Queue queue;
        // Use of accelerators in accelerator seconds, decayed up to `usedAt`.
        double usedAcceleratorSeconds = 0;
        absl::Time usedAt = absl::UnixEpoch();
    };

    // The queue for the request, other than the guaranteed queue.
    Queue& queueFor(const WaitingRequest& request);
    // Visits the requests from `first` up to, but without, `last`. Returns false if the visitor wants no more
    // candidates.
    bool visitRange(Queue& queue, Queue::iterator first, Queue::iterator last, WaitingStage stage, absl::Time now,
        CandidateVisitor& visitor);
    // Visits the deadline queue. Returns false if the visitor wants no more candidates.
    bool visitDeadlines(absl::Time now, CandidateVisitor& visitor);
    // Visits the queues of the organisations, each time the one with the least use for its weight.
    void visitFairShare(absl::Time now, CandidateVisitor& visitor);
    // Charges the expected use of a request that was placed and removes it.
    void removePlaced(const WaitingRequest& waiting, absl::Time now);
    // Applies the half-life `shareHalfLife` to the past use of the organisation.
    static void decayUse(OrganisationState& state, absl::Time now);

    // Owns the requests to which the queues point.
    absl::flat_hash_map<AttemptId, std::unique_ptr<Entry>> m_entries;
    std::map<OrganisationName, OrganisationState> m_organisations;
    Queue m_urgent;
    Queue m_guaranteed;
    Queue m_deadline;
    ShapeCount m_shapes;
    // The `sequence` of the next request.
    std::uint64_t m_nextSequence = 0;
};

} // namespace mangohall
