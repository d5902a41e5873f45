// The interface of the queues of requests that wait for capacity in one shard.
#pragma once

#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "absl/types/span.h"
#include "organisation/organisation_type.h"
#include "placement/waiting_queue_type.h"

namespace mangohall {

// Receives the waiting requests one by one. It must not change the queue during the visit.
class CandidateVisitor {
public:
    virtual ~CandidateVisitor() = default;
    virtual VisitResult visit(const WaitingRequest& candidate, WaitingStage stage) = 0;
};

// The aggregate that limits the number of waiting requests and determines the order in which they are served.
class WaitingQueue {
public:
    virtual ~WaitingQueue() = default;

    // Replaces the declared organisations and their limits.
    virtual void setOrganisations(absl::Span<const Organisation> organisations) = 0;
    // The limits of the organisation; the default limits if it is not declared.
    virtual Organisation organisation(const OrganisationName& name) const = 0;

    // Tests whether push() would accept the request. Fails as push() does.
    virtual absl::Status testPush(const WaitingRequest& request) const = 0;
    // Adds a request. QueueFull if its organisation has too many waiting requests, KeyReused if the attempt is in the
    // queue already.
    virtual absl::Status push(const WaitingRequest& request) = 0;
    // Removes a request without a search through the queue. Returns false if it is not in the queue.
    virtual bool remove(const AttemptId& attempt) = 0;
    virtual bool contains(const AttemptId& attempt) const = 0;

    // Adds accelerator time to the organisation's use, which counts against its fair share. A negative time gives it
    // back. The use decays with the half-life `shareHalfLife`.
    virtual void charge(const OrganisationName& organisation, absl::Duration acceleratorTime, absl::Time now) = 0;

    // Passes the requests to the visitor in the order in which they are to be served. Removes those that it places.
    virtual void visit(absl::Time now, CandidateVisitor& visitor) = 0;

    // Number of waiting requests.
    virtual std::size_t size() const = 0;
    // The distinct shapes of the waiting requests.
    virtual std::vector<Shape> shapes() const = 0;
};

// Half-life of the past use that counts against an organisation's fair share.
inline constexpr absl::Duration shareHalfLife = absl::Hours(1);

// Creates the queue that serves urgent work first, then guaranteed requests, then requests with a deadline by least
// slack, then the others by weighted fair share.
std::unique_ptr<WaitingQueue> makeFairQueue();

// Creates the baseline queue, which serves requests in order of arrival.
std::unique_ptr<WaitingQueue> makeFifoQueue();

} // namespace mangohall
