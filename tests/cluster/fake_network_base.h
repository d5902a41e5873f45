// The simulated network between the nodes of one process, with fault injection.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "cluster/timeline_base.h"
#include "core/seeded_random_base.h"
#include "node/peer_message_type.h"

namespace mangohall {

// Delivers messages after a random delay; can lose, duplicate and reorder them and isolate nodes.
class FakeNetwork {
public:
    using Deliver = std::function<void(const NodeName& to, const PeerMessage&)>;

    FakeNetwork(Timeline& timeline, RandomSource& random, Deliver deliver)
        : m_timeline(timeline)
        , m_random(random)
        , m_deliver(std::move(deliver))
    {
    }

    void send(const NodeName& to, const PeerMessage& message)
    {
        if (isIsolated(message.from, to) || m_random.uniform() < m_loss)
            return;
        const int copies = m_random.uniform() < m_duplication ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const absl::Duration delay = m_delay + m_jitter * m_random.uniform();
            m_timeline.after(delay, [this, to, message] { m_deliver(to, message); });
        }
    }

    // Set the fraction of messages that are lost and the fraction that arrive twice.
    void setLoss(double share) { m_loss = share; }
    void setDuplication(double share) { m_duplication = share; }
    // Sets the width of the random part of the delay. A large one reorders messages.
    void setJitter(absl::Duration jitter) { m_jitter = jitter; }
    // Drops every message from and to the node until it is reconnected.
    void isolate(const NodeName& node) { m_isolatedNodes.insert(node); }
    void reconnect(const NodeName& node) { m_isolatedNodes.erase(node); }

private:
    bool isIsolated(const NodeName& from, const NodeName& to) const
    {
        return m_isolatedNodes.contains(from) || m_isolatedNodes.contains(to);
    }

    Timeline& m_timeline;
    RandomSource& m_random;
    const Deliver m_deliver;
    double m_loss = 0;
    double m_duplication = 0;
    // The least delay of a message.
    absl::Duration m_delay = absl::Milliseconds(1);
    absl::Duration m_jitter = absl::Milliseconds(1);
    std::set<NodeName> m_isolatedNodes;
};

} // namespace mangohall
