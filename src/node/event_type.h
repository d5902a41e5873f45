// The inputs and outputs of a node: it is driven by events alone and answers them with effects.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/status/status.h"
#include "absl/time/time.h"
#include "core/part_type.h"
#include "membership/directory_type.h"
#include "node/caller_message_type.h"
#include "node/peer_message_type.h"
#include "node/store_message_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// The number of a call to the store or to a worker, unique within the part that made it. Its reply carries the same.
using CallId = std::uint64_t;

// The wake-up time that the part requested has come.
struct WakeEvent { };

// A message from another node has arrived.
struct PeerEvent {
    PeerMessage message;
};

// The store has replied to a call.
struct StoreEvent {
    CallId call = 0;
    StoreReply reply;
};

// A worker has replied to a call, or the call has failed. A failed call may or may not have taken effect.
struct WorkerEvent {
    WorkerName worker;
    CallId call = 0;
    absl::Status status;
    // The reply; valid if the status is OK.
    WorkerReport report;
};

// The VM list has been read, or the read has failed.
struct VmListEvent {
    // The data centre that was read; empty for the whole list.
    DataCentreName dataCentre;
    absl::Status status;
    // The entries; valid if the status is OK.
    std::vector<VmEntry> entries;
};

// A caller or operator has sent a request.
struct CallerEvent {
    CallerId caller = 0;
    Identity identity;
    CallerRequest request;
};

// The caller has closed its connection. No answer may be sent to it any more.
struct CallerDisconnectedEvent {
    CallerId caller = 0;
};

// The node's directory has changed. Part 0 sends this event to the other parts.
struct DirectoryEvent {
    DirectorySnapshot directory;
};

// The node is asked to shut down gracefully.
struct DrainEvent { };

// A part has finished everything that a graceful shutdown waits for. The other parts send this event to part 0.
struct PartDrainedEvent {
    PartIndex part = 0;
};

using Event = std::variant<WakeEvent, PeerEvent, StoreEvent, WorkerEvent, VmListEvent, CallerEvent,
    CallerDisconnectedEvent, DirectoryEvent, DrainEvent, PartDrainedEvent>;

// Wakes the part at the time. A later effect of the same part replaces an earlier one.
struct WakeAtEffect {
    absl::Time at;
};

// Sends a message to a node. There is no confirmation of delivery.
struct SendEffect {
    NodeName to;
    // The address "ip:port" of the node; empty if it is this node itself.
    std::string address;
    PeerMessage message;
};

// Makes a call to the store; answered by a StoreEvent.
struct StoreEffect {
    CallId call = 0;
    StoreRequest request;
};

// Makes a call to a worker; answered by a WorkerEvent.
struct WorkerEffect {
    WorkerName worker;
    // The address "ip:port" of the worker.
    std::string address;
    CallId call = 0;
    WorkerCall request;
};

// Reads the VM list of one data centre, or the whole list if the name is empty; answered by a VmListEvent.
struct ReadVmListEffect {
    DataCentreName dataCentre;
};

// Answers a caller or operator.
struct AnswerEffect {
    CallerId caller = 0;
    CallerAnswer answer;
    // No further answer to this request follows.
    bool isLast = true;
};

// Hands an event to another part of the same node.
struct NotifyEffect {
    PartIndex part = 0;
    Event event;
};

// The node is drained and its process may exit.
struct DrainedEffect { };

// An observation for metrics, logs and the burn report.
struct ObservationEffect {
    enum class Kind {
        // A job has ended.
        JobEnded,
        // The tasks of an urgent job have started.
        UrgentStart,
        // Capacity has been reclaimed for a guarantee.
        Reclaim,
        // A declared change is active on every live node. No node reports this at present.
        ConfigInForce,
        // This node has become the owner of a shard.
        ShardClaimed,
        // This node has stopped being the owner of a shard.
        ShardLost,
        // A guarantee has fewer usable cells than declared.
        GuaranteeShortfall,
        // A worker has been quarantined because its tasks fail.
        WorkerQuarantined,
    };
    Kind kind = Kind::JobEnded;
    OrganisationName organisation;
    ServiceName service;
    ShardName shard;
    // The name of the job, worker or guarantee that was observed.
    std::string subject;
    // The latency of the observed step; for JobEnded the time since the job was accepted.
    absl::Duration duration;
    ErrorKind outcome = ErrorKind::None;
    Epoch epoch = 0;
    // Whether the observation meets its service-level objective.
    bool isWithinObjective = true;
};

using Effect = std::variant<WakeAtEffect, SendEffect, StoreEffect, WorkerEffect, ReadVmListEffect, AnswerEffect,
    NotifyEffect, DrainedEffect, ObservationEffect>;

using Effects = std::vector<Effect>;

} // namespace mangohall
