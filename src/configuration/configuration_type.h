// The resources that operators declare, as they are kept in the store.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "core/name_type.h"
#include "organisation/organisation_type.h"

namespace mangohall {

// A service that callers address, and how much of it one worker runs.
struct Service {
    ServiceName name;
    // The maximum number of tasks of the service that one worker runs at a time.
    int slotsPerWorker = 8;
    // The maximum number of connections that the whole system keeps to one worker.
    int connectionsPerWorker = 64;
};

// The kind of thing that a drain applies to.
enum class DrainTarget {
    Worker,
    Rack,
    DataCentre,
};

// An operator's request that a worker, rack or data centre gets no new work.
struct Drain {
    std::string name;
    DrainTarget target = DrainTarget::Worker;
    // The name of the worker, rack or data centre.
    std::string targetName;
};

// Settings of the scheduling policy that operators may change while the system runs.
struct Policy {
    std::string name;
    // The weight of completion time against fragmentation, 0 to 1. At 1 only completion time counts.
    double completionWeight = 0.5;
    // The time that a borrower gets to take a checkpoint when its capacity is reclaimed.
    absl::Duration checkpointGrace = absl::Milliseconds(1500);
};

// A building shard: the racks of one data centre that one node owns at a time.
struct ShardSpec {
    ShardName name;
    RegionName region;
    DataCentreName dataCentre;
    std::vector<RackName> racks;
    int workersPerRack = 8;
    int acceleratorsPerWorker = 8;
};

using ConfigSpec = std::variant<Organisation, Guarantee, Service, Drain, Policy, ShardSpec>;

// The kinds of declared resources, in the order of the variant's alternatives.
enum class ConfigKind {
    Organisation,
    Guarantee,
    Service,
    Drain,
    Policy,
    Shard,
};

// A declared resource with the store revision of its last change.
struct ConfigObject {
    ConfigSpec spec;
    Revision revision = 0;
    // Identifies the change. If the store's reply to the write is lost, reading the object back shows by this id
    // whether the write took effect.
    std::string changeId;
};

} // namespace mangohall
