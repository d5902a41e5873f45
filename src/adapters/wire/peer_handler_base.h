#pragma once

#include "Peer.h"
#include "ports/event_sink_port.h"

namespace mangohall {

// Implements the Thrift service that peers call.
class PeerHandler : public wire::PeerIf {
public:
    // `sink` receives the messages as events; it must outlive the handler.
    explicit PeerHandler(EventSink& sink)
        : m_sink(sink)
    {
    }

    // Posts each message to the sink and returns how many were posted. A message that this version cannot decode is
    // skipped and not counted.
    std::int32_t deliver(const std::vector<wire::PeerEnvelope>& batch) override;

private:
    EventSink& m_sink;
};

} // namespace mangohall
