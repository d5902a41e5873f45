// Drives the parts of a node and simulates a store that is always available.
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "node/node_base.h"
#include "node/node_part_base.h"

namespace mangohall {

// The effects of one event and of the store replies that followed from it.
struct EventOutcome {
    // Number of events handled: the event itself and the store replies.
    int handled = 0;
    std::vector<SendEffect> sent;
    std::vector<NotifyEffect> notified;
};

// A node whose store calls are replied to at once. Several threads may call handle(), unless they drive the directory
// part or call setListed() at the same time.
class DrivenNode {
public:
    explicit DrivenNode(std::vector<std::unique_ptr<NodePart>> parts);

    // Passes the event to the part, and then every store reply that follows from it.
    EventOutcome handle(PartIndex part, Event event);
    std::size_t partCount() const { return m_node->partCount(); }
    // Sets the entries of the store. A list call returns those whose keys have its prefix.
    void setListed(std::vector<StoreEntry> entries) { m_listed = std::move(entries); }
    // Returns the call of the latest watch on the prefix, to be used for reporting changes; 0 if there is none.
    CallId watchCall(absl::string_view prefix) const;

private:
    // Fills in the reply of the store. Returns false for a watch, which gets no reply at once.
    bool makeReply(const StoreEffect& effect, StoreReply& reply);

    std::unique_ptr<Node> m_node;
    // The revision of the latest reply of the store.
    std::atomic<Revision> m_revision { 1 };
    // The entries of the store.
    std::vector<StoreEntry> m_listed;
    // The watches so far. Has no lock because only the directory part watches, and a single thread drives that part.
    std::vector<StoreEffect> m_watches;
};

} // namespace mangohall
