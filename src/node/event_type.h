// What comes into a node and what goes out. A node is driven by events alone and answers with effects.
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

// A number that a part gives a request, to know its reply again.
using CallId = std::uint64_t;

// The time a part asked to be woken at has come.
struct WakeEvent { };

struct PeerEvent {
    PeerMessage message;
};

struct StoreEvent {
    CallId call = 0;
    StoreReply reply;
};

// A worker answered, or the call failed; a failed call may or may not have taken effect.
struct WorkerEvent {
    WorkerName worker;
    CallId call = 0;
    absl::Status status;
    WorkerReport report;
};

// The VM list was read.
struct VmListEvent {
    // The data centre that was read; empty for the whole list.
    DataCentreName dataCentre;
    absl::Status status;
    std::vector<VmEntry> entries;
};

struct CallerEvent {
    CallerId caller = 0;
    Identity identity;
    CallerRequest request;
};

// The caller has closed its connection; nothing may be answered to it any more.
struct CallerGoneEvent {
    CallerId caller = 0;
};

// The node's directory has changed. Sent by part 0 to the other parts.
struct DirectoryEvent {
    DirectorySnapshot directory;
};

// The node is asked to stop gracefully.
struct DrainEvent { };

// A part has nothing left that a graceful stop has to wait for. Sent to part 0 by the others.
struct PartDrainedEvent {
    PartIndex part = 0;
};

using Event = std::variant<WakeEvent, PeerEvent, StoreEvent, WorkerEvent, VmListEvent, CallerEvent, CallerGoneEvent,
    DirectoryEvent, DrainEvent, PartDrainedEvent>;

// Wakes the part at the time; a later effect of the same part replaces an earlier one.
struct WakeAtEffect {
    absl::Time at;
};

// Sends to a node. Nothing tells whether it arrived.
struct SendEffect {
    NodeName to;
    std::string address;
    PeerMessage message;
};

struct StoreEffect {
    CallId call = 0;
    StoreRequest request;
};

struct WorkerEffect {
    WorkerName worker;
    std::string address;
    CallId call = 0;
    WorkerCall request;
};

// Reads the VM list of one data centre; all of it if the name is empty.
struct ReadVmListEffect {
    DataCentreName dataCentre;
};

struct AnswerEffect {
    CallerId caller = 0;
    CallerAnswer answer;
    // No further answer follows.
    bool isLast = true;
};

// Hands an event to another part of the same node.
struct NotifyEffect {
    PartIndex part = 0;
    Event event;
};

// The node has handed everything over and may exit.
struct DrainedEffect { };

// A fact for metrics, logs and the burn report.
struct ObservationEffect {
    enum class Kind {
        JobEnded,
        UrgentStart,
        Reclaim,
        ConfigInForce,
        ShardClaimed,
        ShardLost,
        GuaranteeShortfall,
        WorkerQuarantined,
    };
    Kind kind = Kind::JobEnded;
    OrganisationName organisation;
    ServiceName service;
    ShardName shard;
    // What it concerns: a job, worker or guarantee.
    std::string subject;
    absl::Duration took;
    ErrorKind outcome = ErrorKind::None;
    Epoch epoch = 0;
    bool isWithinObjective = true;
};

using Effect = std::variant<WakeAtEffect, SendEffect, StoreEffect, WorkerEffect, ReadVmListEffect, AnswerEffect,
    NotifyEffect, DrainedEffect, ObservationEffect>;

using Effects = std::vector<Effect>;

} // namespace mangohall
