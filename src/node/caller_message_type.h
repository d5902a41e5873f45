// The requests of callers and operators to an entry, and the answers to them. No encoding is implied.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "absl/types/optional.h"
#include "configuration/configuration_type.h"
#include "core/name_type.h"
#include "job/job_type.h"
#include "membership/membership_type.h"
#include "node/peer_message_type.h"

namespace mangohall {

// The number of a request, unique within the front end that received it.
using CallerId = std::uint64_t;

// The sender of a request, as the front end has authenticated it.
struct Identity {
    bool isOperator = false;
    // The organisation that a caller acts for; empty for an operator.
    OrganisationName organisation;
};

// Submits a job and waits up to `wait` for its end.
struct SubmitRequest {
    JobKey key;
    JobSpec spec;
    absl::Duration wait;
};

// Asks for the state of a job and waits up to `wait` for its end.
struct QueryRequest {
    JobKey key;
    absl::Duration wait;
};

// Cancels a job and waits up to `wait` for its end.
struct CancelRequest {
    JobKey key;
    absl::Duration wait;
};

// Declares a resource.
struct PutRequest {
    ConfigSpec spec;
    // The revision that the resource must have; 0 if it must not exist. Without a value any present revision is
    // overwritten.
    absl::optional<Revision> expectedRevision;
    // Identifies the change; see ConfigObject.
    std::string changeId;
};

// Deletes a resource.
struct DeleteRequest {
    ConfigKind kind = ConfigKind::Organisation;
    std::string name;
    // The revision that the resource must have. Without a value any present revision is deleted.
    absl::optional<Revision> expectedRevision;
};

// Reads one resource, or every resource of the kind if the name is empty.
struct ReadRequest {
    ConfigKind kind = ConfigKind::Organisation;
    std::string name;
};

// Watches the resources of a kind for changes after the revision. Each batch of changes is sent as a ChangeAnswer until
// the caller closes the connection.
struct WatchRequest {
    ConfigKind kind = ConfigKind::Organisation;
    Revision afterRevision = 0;
};

// The read-only views of the system.
enum class ViewKind {
    Workers,
    Shards,
    Nodes,
    Fragmentation,
};

// Reads a view. Nodes is answered by a NodesAnswer, every other kind by a ShardsAnswer.
struct ViewRequest {
    ViewKind kind = ViewKind::Nodes;
};

using CallerRequest = std::variant<SubmitRequest, QueryRequest, CancelRequest, PutRequest, DeleteRequest, ReadRequest,
    WatchRequest, ViewRequest>;

// The refusal of a request.
struct ErrorAnswer {
    ErrorKind kind = ErrorKind::Internal;
    std::string message;
    // After a revision conflict: the revision that the caller expected and the one that is stored. Otherwise 0.
    Revision expectedRevision = 0;
    Revision presentRevision = 0;
};

// The state of a job; once the job has ended, its outcome and results.
struct JobAnswer {
    JobStatus status;
};

// A declared resource and whether the nodes have applied it.
struct ConfigAnswer {
    ConfigObject object;
    // Every live node has reported that it has applied this revision.
    bool isInForce = false;
    // The live nodes that have not reported it yet, in the order of names.
    std::vector<NodeName> lagging;
};

// The resources of one kind at one store revision.
struct ConfigListAnswer {
    Revision revision = 0;
    std::vector<ConfigAnswer> objects;
};

// The changes of one kind up to a store revision. A later watch may resume after that revision.
struct ChangeAnswer {
    Revision revision = 0;
    std::vector<ConfigObject> changed;
    std::vector<std::string> deletedNames;
};

// A resource was deleted at the store revision.
struct DeletedAnswer {
    Revision revision = 0;
};

// One building shard as the entry knows it.
struct ShardView {
    ShardSpec spec;
    // The live owner; empty if there is none.
    NodeName owner;
    // The latest known epoch; 0 if the shard has never had an owner.
    Epoch epoch = 0;
    // The free capacity last reported; all zero if none was.
    CapacitySummary capacity;
};

// The building shards in the order of the directory.
struct ShardsAnswer {
    std::vector<ShardView> shards;
};

// The live nodes in the order of names.
struct NodesAnswer {
    std::vector<Member> members;
};

using CallerAnswer = std::variant<ErrorAnswer, JobAnswer, ConfigAnswer, ConfigListAnswer, ChangeAnswer, DeletedAnswer,
    ShardsAnswer, NodesAnswer>;

} // namespace mangohall
