#include "adapters/wire/peer_sender_base.h"

#include <utility>

#include "adapters/wire/peer_wire_func.h"

namespace mangohall {

PeerSender::PeerSender(const PeerAddress& address, const PeerPortSettings& settings, SharedPeerCounters& counters)
    : m_settings(settings)
    , m_counters(counters)
    , m_connection(address, settings)
    , m_thread([this] { run(); })
{
}

PeerSender::~PeerSender()
{
    stop();
    m_thread.join();
}

bool PeerSender::push(const PeerMessage& message, std::size_t bytes)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_isClosed || m_isStopping)
        return false;
    dropOldestToFit(bytes);
    m_queue.push_back(QueuedMessage { message, bytes });
    m_queuedBytes += bytes;
    return true;
}

void PeerSender::stop()
{
    const absl::MutexLock lock(&m_mutex);
    m_isStopping = true;
}

bool PeerSender::isClosed() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_isClosed;
}

void PeerSender::run()
{
    for (Batch batch = takeBatch(); !batch.messages.empty(); batch = takeBatch()) {
        const absl::Status status = deliver(batch);
        if (status.ok())
            continue;
        m_counters.add(&PeerPortCounters::droppedUnacknowledged, batch.messages.size());
        dropQueueIfStopping();
    }
    m_connection.close();
}

PeerSender::Batch PeerSender::takeBatch()
{
    const absl::MutexLock lock(&m_mutex);
    m_mutex.AwaitWithTimeout(absl::Condition(this, &PeerSender::hasWork), m_settings.idleTimeout);
    if (m_queue.empty()) {
        m_isClosed = true;
        return {};
    }
    return takeFrontBatch();
}

PeerSender::Batch PeerSender::takeFrontBatch()
{
    Batch batch;
    while (!m_queue.empty() && batch.messages.size() < m_settings.maxBatchMessages) {
        const std::size_t bytes = m_queue.front().bytes;
        if (!batch.messages.empty() && batch.bytes + bytes > m_settings.maxBatchBytes)
            break;
        batch.messages.push_back(std::move(m_queue.front()));
        batch.bytes += bytes;
        m_queue.pop_front();
        m_queuedBytes -= bytes;
    }
    return batch;
}

void PeerSender::dropOldestToFit(std::size_t bytes)
{
    while (!m_queue.empty()
        && (m_queue.size() >= m_settings.maxQueuedMessages || m_queuedBytes + bytes > m_settings.maxQueuedBytes)) {
        m_queuedBytes -= m_queue.front().bytes;
        m_queue.pop_front();
        m_counters.add(&PeerPortCounters::droppedOldest, 1);
    }
}

absl::Status PeerSender::deliver(const Batch& batch)
{
    std::vector<wire::PeerEnvelope> envelopes;
    envelopes.reserve(batch.messages.size());
    for (const QueuedMessage& queued : batch.messages)
        envelopes.push_back(toWire(queued.message));
    if (!m_connection.isOpen())
        m_counters.add(&PeerPortCounters::connections, 1);
    absl::Status status = m_connection.deliver(envelopes, batch.bytes);
    if (!status.ok())
        return status;
    m_counters.add(&PeerPortCounters::batches, 1);
    m_counters.add(&PeerPortCounters::messages, batch.messages.size());
    m_counters.add(&PeerPortCounters::bytes, batch.bytes);
    return status;
}

void PeerSender::dropQueueIfStopping()
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_isStopping)
        return;
    m_counters.add(&PeerPortCounters::droppedAtStop, m_queue.size());
    m_queue.clear();
    m_queuedBytes = 0;
}

} // namespace mangohall
