// Resources that operators declare about organisations: quotas and guarantees.
#pragma once

#include <string>

#include "core/name_type.h"

namespace mangohall {

// How close together the accelerators of a job or of a guarantee's cell have to be.
enum class Adjacency {
    Anywhere,
    SameDataCentre,
    SameRack,
    SameWorker,
};

// An organisation and its limits.
struct Organisation {
    OrganisationName name;
    // The organisation's share of the capacity beyond guarantees, relative to the weights of the other organisations.
    int weight = 1;
    // The maximum number of jobs queued in one ledger shard.
    int maxQueuedJobs = 1000;
    // The maximum number of accelerators in use in one building shard, guarantees included. 0 means no limit.
    int maxAccelerators = 0;
};

// A guaranteed, paid-for amount of capacity: a number of cells, each a set of adjacent accelerators.
struct Guarantee {
    GuaranteeName name;
    OrganisationName organisation;
    // The building shard that keeps the cells.
    ShardName shard;
    int cells = 1;
    int acceleratorsPerCell = 1;
    // How close together the accelerators of one cell are.
    Adjacency adjacency = Adjacency::SameWorker;
};

} // namespace mangohall
