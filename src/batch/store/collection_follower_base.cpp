#include "batch/store/collection_follower_base.h"

#include <algorithm>
#include <utility>

#include "core/backoff_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

constexpr absl::Duration firstRetry = absl::Milliseconds(100);
constexpr absl::Duration longestRetry = absl::Milliseconds(800);
// Added to the time that a watch waits; after that the connection is given up.
constexpr absl::Duration answerTimeout = absl::Milliseconds(1000);
constexpr absl::Duration listTimeout = absl::Milliseconds(2000);

} // namespace

void CollectionFollower::startAfter(Revision revision, absl::Time now)
{
    stop();
    m_hasRevision = true;
    m_readRevision = revision;
    m_confirmedAt = now;
}

void CollectionFollower::stop()
{
    m_call = 0;
    m_hasRevision = false;
    m_nextPage.clear();
    m_failures = 0;
    m_retryAt = absl::InfinitePast();
}

void CollectionFollower::advance(Outbox& outbox, absl::Time now)
{
    if (m_call != 0 || now < m_retryAt)
        return;
    m_sentAt = now;
    m_isReadingAll = !m_hasRevision;
    if (m_isReadingAll && m_nextPage.empty())
        m_readSince = now;
    if (m_isReadingAll && m_mode == ReadMode::Pages)
        m_call = outbox.toStore(ReadPage { m_collection, m_nextPage }, listTimeout);
    else if (m_isReadingAll)
        m_call = outbox.toStore(ReadCollection { m_collection }, listTimeout);
    else
        m_call = outbox.toStore(WatchCollection { m_collection, m_readRevision, m_wait }, m_wait + answerTimeout);
}

absl::Time CollectionFollower::nextDue() const
{
    return m_call != 0 ? absl::InfiniteFuture() : m_retryAt;
}

CollectionUpdate CollectionFollower::handleReply(const StoreReply& reply, absl::Time now)
{
    m_call = 0;
    const ErrorKind kind = errorKindOf(reply.status);
    if (kind == ErrorKind::WatchExpired) {
        m_hasRevision = false;
        return {};
    }
    if (kind != ErrorKind::None) {
        recordFailure(now);
        CollectionUpdate update;
        update.isFailed = true;
        return update;
    }
    m_failures = 0;
    m_retryAt = absl::InfinitePast();
    return m_isReadingAll ? applyFullRead(reply) : applyChanges(reply, now);
}

CollectionUpdate CollectionFollower::applyFullRead(const StoreReply& reply)
{
    // Later pages may contain changes since the first one. A watch after the revision of the first page reports those
    // changes again, so none is missed.
    if (m_nextPage.empty())
        m_readRevision = reply.revision;
    m_nextPage = reply.nextPage;
    m_hasRevision = m_nextPage.empty();
    CollectionUpdate update;
    update.isComplete = m_hasRevision;
    update.isConfirmed = m_hasRevision;
    update.records = reply.records;
    if (m_hasRevision)
        m_confirmedAt = std::max(m_confirmedAt, m_readSince);
    return update;
}

CollectionUpdate CollectionFollower::applyChanges(const StoreReply& reply, absl::Time now)
{
    CollectionUpdate update;
    update.changedAfter = m_confirmedAt;
    m_readRevision = std::max(m_readRevision, reply.revision);
    // A watch that ended without changes shows that there were none until its wait was over.
    const bool hasWaited = reply.records.empty() && now >= m_sentAt + m_wait;
    m_confirmedAt = std::max(m_confirmedAt, hasWaited ? m_sentAt + m_wait : m_sentAt);
    if (!reply.records.empty())
        m_retryAt = now + m_pause;
    update.isConfirmed = true;
    update.records = reply.records;
    return update;
}

void CollectionFollower::recordFailure(absl::Time now)
{
    m_retryAt = now + backoffCeiling(firstRetry, longestRetry, m_failures);
    ++m_failures;
}

} // namespace mangohall::batch
