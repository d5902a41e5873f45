#include "adapters/wire/thrift_peer_port_base.h"

#include <utility>

#include "adapters/wire/peer_wire_func.h"
#include "adapters/wire/thrift_bytes_func.h"
#include "adapters/wire/thrift_output_func.h"

namespace mangohall {

namespace {

// The bytes that a Thrift call adds to the messages that it carries.
constexpr std::size_t frameOverheadBytes = 64;

} // namespace

ThriftPeerPort::ThriftPeerPort(const PeerPortSettings& settings)
    : m_settings(settings)
{
    silenceThriftOutput();
}

ThriftPeerPort::~ThriftPeerPort()
{
    stop();
}

void ThriftPeerPort::send(const NodeName& /*to*/, absl::string_view address, const PeerMessage& message)
{
    const absl::StatusOr<PeerAddress> parsed = parsePeerAddress(address);
    if (!parsed.ok()) {
        m_counters.add(&PeerPortCounters::droppedBadAddress, 1);
        return;
    }
    const std::size_t bytes = toCompactBytes(toWire(message)).size();
    if (bytes + frameOverheadBytes > m_settings.maxFrameBytes) {
        m_counters.add(&PeerPortCounters::droppedTooLarge, 1);
        return;
    }
    // A sender may close between the lookup and the push; the next lookup then creates a new one.
    for (std::shared_ptr<PeerSender> sender = senderFor(address, *parsed); sender != nullptr;
         sender = senderFor(address, *parsed)) {
        if (sender->push(message, bytes))
            return;
    }
    m_counters.add(&PeerPortCounters::droppedAtStop, 1);
}

void ThriftPeerPort::stop()
{
    Senders senders;
    {
        const absl::MutexLock lock(&m_mutex);
        m_isStopped = true;
        senders.swap(m_senders);
    }
    // All senders are asked to stop before the destructor of the first one waits for its thread.
    for (const auto& [address, sender] : senders)
        sender->stop();
}

std::shared_ptr<PeerSender> ThriftPeerPort::senderFor(absl::string_view address, const PeerAddress& parsed)
{
    std::vector<std::shared_ptr<PeerSender>> closed;
    const absl::MutexLock lock(&m_mutex);
    if (m_isStopped)
        return nullptr;
    const auto existing = m_senders.find(address);
    if (existing != m_senders.end() && !existing->second->isClosed())
        return existing->second;
    closed = takeClosedSenders();
    auto sender = std::make_shared<PeerSender>(parsed, m_settings, m_counters);
    m_senders.insert_or_assign(std::string(address), sender);
    return sender;
}

std::vector<std::shared_ptr<PeerSender>> ThriftPeerPort::takeClosedSenders()
{
    std::vector<std::shared_ptr<PeerSender>> closed;
    for (auto at = m_senders.begin(); at != m_senders.end();) {
        const auto sender = at++;
        if (!sender->second->isClosed())
            continue;
        closed.push_back(std::move(sender->second));
        m_senders.erase(sender);
    }
    return closed;
}

} // namespace mangohall
