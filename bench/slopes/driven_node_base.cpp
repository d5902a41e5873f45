#include "slopes/driven_node_base.h"

#include <utility>

#include "absl/strings/match.h"
#include "node/parted_node_base.h"
#include "slopes/sample_func.h"

namespace mangohall {

DrivenNode::DrivenNode(std::vector<std::unique_ptr<NodePart>> parts)
    : m_node(std::make_unique<PartedNode>(std::move(parts)))
{
}

EventOutcome DrivenNode::handle(PartIndex part, Event event)
{
    EventOutcome outcome;
    std::vector<Event> pendingEvents;
    pendingEvents.push_back(std::move(event));
    while (!pendingEvents.empty()) {
        const Event next = std::move(pendingEvents.back());
        pendingEvents.pop_back();
        ++outcome.handled;
        for (Effect& effect : m_node->handle(part, next, sampleNow())) {
            if (auto* send = std::get_if<SendEffect>(&effect))
                outcome.sent.push_back(std::move(*send));
            else if (auto* notify = std::get_if<NotifyEffect>(&effect))
                outcome.notified.push_back(std::move(*notify));
            const auto* call = std::get_if<StoreEffect>(&effect);
            StoreReply reply;
            if (call != nullptr && makeReply(*call, reply))
                pendingEvents.emplace_back(StoreEvent { call->call, std::move(reply) });
        }
    }
    return outcome;
}

bool DrivenNode::makeReply(const StoreEffect& effect, StoreReply& reply)
{
    if (std::holds_alternative<StoreWatch>(effect.request)) {
        m_watches.push_back(effect);
        return false;
    }
    reply.revision = ++m_revision;
    reply.lease = 1;
    if (const auto* list = std::get_if<StoreList>(&effect.request)) {
        for (const StoreEntry& entry : m_listed) {
            if (absl::StartsWith(entry.key, list->prefix))
                reply.entries.push_back(entry);
        }
    }
    return true;
}

CallId DrivenNode::watchCall(absl::string_view prefix) const
{
    CallId call = 0;
    for (const StoreEffect& watch : m_watches) {
        if (std::get<StoreWatch>(watch.request).prefix == prefix)
            call = watch.call;
    }
    return call;
}

} // namespace mangohall
