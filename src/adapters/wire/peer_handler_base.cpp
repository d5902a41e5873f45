#include "adapters/wire/peer_handler_base.h"

#include <utility>

#include "adapters/wire/peer_wire_func.h"

namespace mangohall {

std::int32_t PeerHandler::deliver(const std::vector<wire::PeerEnvelope>& batch)
{
    std::int32_t acceptedCount = 0;
    for (const wire::PeerEnvelope& envelope : batch) {
        WireFault fault;
        PeerMessage message = fromWire(envelope, fault);
        if (fault.hasFault())
            continue;
        m_sink.post(PeerEvent { std::move(message) });
        ++acceptedCount;
    }
    return acceptedCount;
}

} // namespace mangohall
