// A node: all decisions of one process, without input or output.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "batch/fleet/worker_session_base.h"
#include "batch/node/node_part_base.h"
#include "batch/policy/allocation_policy_base.h"
#include "ports/clock_port.h"

namespace mangohall::batch {

// What a node is told at its start.
struct NodeSettings {
    NodeName self;
    // Parts that share the callers, by the job's name.
    std::size_t deskCount = 2;
    // Past this age of the manifest no call is taken that needs a key.
    absl::Duration maxManifestAge = absl::Seconds(4);
    SessionSettings session;
    // By when after its acceptance an urgent job that a guarantee covers has to begin.
    absl::Duration guaranteeBound = absl::Milliseconds(3400);
    // Share of a processor that the node may use. Nodes with more take the ownership first.
    double processorShare = 1;
    // The latest that a node which stops keeps serving open connections.
    absl::Duration drainTime = absl::Seconds(3);
    std::uint64_t seed = 1;
};

// The first part watches the manifest, the second owns jobs and workers when it is its turn, the others serve callers.
inline constexpr PartIndex directoryPart = 0;
inline constexpr PartIndex ownerPart = 1;
inline constexpr PartIndex firstDeskPart = 2;

// The state of a node stands in parts, each under a lock of its own. `handle` takes the lock of one part only and
// returns what is to be done; the caller does it after `handle` has returned and so outside every lock.
class Node {
public:
    // The clock has to outlive the node. It only tells how long choices take; the time that decides comes with events.
    Node(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy);

    std::size_t partCount() const { return m_parts.size(); }

    // The part that serves calls for the path.
    PartIndex deskFor(absl::string_view path) const;

    // Changes the part's state and returns the effects in the order in which they have to be started. Safe to call
    // from several threads.
    Effects handle(PartIndex part, const Event& event, absl::Time now) { return m_parts[part]->handle(event, now); }

private:
    std::vector<std::unique_ptr<NodePart>> m_parts;
};

} // namespace mangohall::batch
