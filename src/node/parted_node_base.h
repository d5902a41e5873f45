// A node that is composed of parts.
#pragma once

#include <memory>
#include <vector>

#include "node/node_base.h"
#include "node/node_part_base.h"

namespace mangohall {

// Passes each event to one of its parts. Part 0 is the directory part; the others hold the shards or the callers that
// hash to them.
class PartedNode : public Node {
public:
    explicit PartedNode(std::vector<std::unique_ptr<NodePart>> parts)
        : m_parts(std::move(parts))
    {
    }

    std::size_t partCount() const override { return m_parts.size(); }
    PartIndex partFor(const Event& event) const override;
    Effects handle(PartIndex part, const Event& event, absl::Time now) override
    {
        return m_parts[part]->handle(event, now);
    }

private:
    const std::vector<std::unique_ptr<NodePart>> m_parts;
};

} // namespace mangohall
