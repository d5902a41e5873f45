// The decision logic of one node process, without input or output.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "batch/job/job_footprint_func.h"
#include "batch/job/record_limits_type.h"
#include "batch/node/node_part_base.h"
#include "batch/policy/allocation_policy_base.h"
#include "batch/worker/worker_session_base.h"
#include "ports/clock_port.h"

namespace mangohall::batch {

// The settings of a node, which do not change while it runs.
struct NodeSettings {
    // The node's own name.
    NodeName self;
    // The number of caller parts. Requests are distributed among them by a hash of the path.
    std::size_t callerPartCount = 2;
    // Requests of callers are refused while the last confirmation of the manifest is older than this, because a key may
    // have been revoked since.
    absl::Duration maxManifestAge = absl::Seconds(4);
    // No run is started while the last confirmation of the evacuations is older than this, because a data centre may
    // have been evacuated since. Infinite where operators evacuate none.
    absl::Duration maxEvacuationAge = absl::InfiniteDuration();
    SessionSettings session;
    RecordLimits recordLimits;
    // The memory that jobs may take at the owner, in bytes. All nodes should have the same, as any of them may become
    // the owner.
    std::int64_t jobMemoryBytes = defaultJobMemoryBytes;
    // The longest time from the acceptance of an urgent job that a guarantee covers to its start.
    absl::Duration guaranteeBound = absl::Milliseconds(3400);
    // The share of a processor that the node may use; 1 is a whole processor. Nodes with a larger share acquire the
    // ownership first.
    double processorShare = 1;
    // How long a node that shuts down keeps serving open connections.
    absl::Duration drainTime = absl::Seconds(3);
    // The seed of the node's random numbers.
    std::uint64_t seed = 1;
};

// The indices of the parts. The first part follows the manifest, the second one manages jobs and workers while this
// node is the owner, and the others handle the requests of callers.
inline constexpr PartIndex directoryPart = 0;
inline constexpr PartIndex ownerPart = 1;
inline constexpr PartIndex firstCallerPart = 2;

// A node. Its state is divided into parts, each of which has its own lock. `handle` takes the lock of one part only and
// returns effects, which the runtime carries out after `handle` has returned and thus outside every lock.
class Node {
public:
    // The clock has to outlive the node. It only measures the duration of allocation rounds; decisions depend on the
    // time that is passed with each event.
    Node(const NodeSettings& settings, const Clock& clock, std::unique_ptr<AllocationPolicy> policy);

    std::size_t partCount() const { return m_parts.size(); }

    // The part that handles requests for the path.
    PartIndex callerPartFor(absl::string_view path) const;

    // Changes the part's state and returns the effects in the order in which they have to be started. Thread-safe.
    Effects handle(PartIndex part, const Event& event, absl::Time now) { return m_parts[part]->handle(event, now); }

private:
    std::vector<std::unique_ptr<NodePart>> m_parts;
};

} // namespace mangohall::batch
