// How an owner hands over the jobs and workers, because it shuts down or because a larger machine asks for them.
#include "batch/owner/owner_part_base.h"

namespace mangohall::batch {

namespace {

// How long an owner that hands over waits for the replies to its starts and for the write of what it knows. A worker
// that has not replied by then is probably out of reach.
constexpr absl::Duration longestHandover = absl::Milliseconds(400);

} // namespace

void OwnerPart::beginHandover(absl::Time now)
{
    m_handoverEndsAt = now + longestHandover;
    m_workers.setMayStart(false);
    m_writer.setWritesAll();
    for (const WorkerUpdate& unsent : m_workers.takeUnsentRuns()) {
        for (const EndedRun& ended : unsent.session.ended)
            handleRunEnd(ended, unsent, now);
    }
}

bool OwnerPart::isHandoverDone(absl::Time now) const
{
    if (!m_ownership.isOwner() || !m_loading.isDone || now >= m_handoverEndsAt)
        return true;
    return !m_workers.isStartPending() && m_writer.hasWrittenAll() && !m_ownership.isCallPending();
}

void OwnerPart::advanceYield(absl::Time now)
{
    if (m_isDraining || !m_ownership.isOwner())
        return;
    if (!m_isYielding && m_ownership.shouldYield()) {
        m_isYielding = true;
        beginHandover(now);
    }
    if (m_isYielding && isHandoverDone(now))
        applyOwnershipUpdate(m_ownership.yield(now), now);
}

void OwnerPart::advanceDrain(absl::Time now)
{
    if (!m_isDraining || m_isDrained)
        return;
    if (m_ownership.hasResigned()) {
        m_isDrained = true;
        m_outbox.notify(directoryPart, PartDrainedEvent());
    } else if (isHandoverDone(now)) {
        m_ownership.resign(m_outbox);
    }
}

} // namespace mangohall::batch
