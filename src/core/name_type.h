// Strongly typed names, so that an organisation is never passed where a worker is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"

namespace mangohall {

// A name of one kind of thing, which the tag distinguishes. Names of different kinds do not convert into one another.
template <typename Tag> class Name {
public:
    Name() = default;
    explicit Name(absl::string_view text)
        : m_text(text)
    {
    }

    absl::string_view text() const { return m_text; }
    const std::string& str() const { return m_text; }
    bool empty() const { return m_text.empty(); }

    friend bool operator==(const Name& left, const Name& right) { return left.m_text == right.m_text; }
    friend std::strong_ordering operator<=>(const Name& left, const Name& right)
    {
        return left.m_text <=> right.m_text;
    }
    template <typename H> friend H AbslHashValue(H state, const Name& name)
    {
        return H::combine(std::move(state), name.m_text);
    }

private:
    std::string m_text;
};

using OrganisationName = Name<struct OrganisationTag>;
using GuaranteeName = Name<struct GuaranteeTag>;
using ServiceName = Name<struct ServiceTag>;
using WorkerName = Name<struct WorkerTag>;
using RackName = Name<struct RackTag>;
using DataCentreName = Name<struct DataCentreTag>;
using RegionName = Name<struct RegionTag>;
// The name of a process of the system, an entry or a scheduler.
using NodeName = Name<struct NodeTag>;
// The name of a shard, which one node owns at a time. A ledger shard holds the records of the jobs that hash to it; a
// building shard is a group of racks in one data centre and runs tasks on their workers.
using ShardName = Name<struct ShardTag>;

// A revision of the store. It grows with every write to the store.
using Revision = std::int64_t;
// The number of owners that a shard has had. An owner with a larger epoch fences off one with a smaller epoch.
using Epoch = std::int64_t;

} // namespace mangohall
