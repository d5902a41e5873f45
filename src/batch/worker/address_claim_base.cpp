#include "batch/worker/address_claim_base.h"

#include <algorithm>

namespace mangohall::batch {

void AddressClaim::recordRow(absl::string_view address, std::int64_t processStartMs, absl::Time now)
{
    // A row that is read again is no newer sign of the worker.
    if (address.empty() || (address == m_address && processStartMs == m_processStartMs))
        return;
    m_hasMoved = m_hasMoved || (!m_address.empty() && address != m_address);
    m_address = std::string(address);
    m_processStartMs = processStartMs;
    m_seenAt = std::max(m_seenAt, now);
}

void AddressClaim::recordReply(absl::Time sentAt)
{
    m_seenAt = std::max(m_seenAt, sentAt);
}

void AddressClaim::recordRefusal(absl::Time sentAt)
{
    m_refusedAt = std::max(m_refusedAt, sentAt);
}

void AddressClaim::recordOtherWorker(absl::string_view address, absl::Time sentAt)
{
    if (address == m_address)
        m_otherWorkerAt = std::max(m_otherWorkerAt, sentAt);
}

bool AddressClaim::isTakenOver() const
{
    return !m_hasMoved && m_refusedAt > m_seenAt && m_otherWorkerAt > m_seenAt;
}

} // namespace mangohall::batch
