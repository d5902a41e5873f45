#include <algorithm>

#include "core/backoff_func.h"
#include "core/error_func.h"
#include "membership/prefix_watch_base.h"

namespace mangohall {

namespace {

// Bounds of the delay before a failed store call is repeated.
constexpr absl::Duration firstRetry = absl::Milliseconds(100);
constexpr absl::Duration maxRetry = absl::Seconds(3);

} // namespace

PrefixWatch::PrefixWatch(std::string prefix, RandomSource& random, Outbox& outbox)
    : m_prefix(std::move(prefix))
    , m_random(random)
    , m_outbox(outbox)
{
}

void PrefixWatch::start()
{
    list();
}

void PrefixWatch::refresh()
{
    if (m_listCall == 0)
        list();
}

void PrefixWatch::list()
{
    m_isListDue = false;
    m_retryAt = absl::InfiniteFuture();
    m_listCall = m_outbox.toStore(StoreList { m_prefix });
}

void PrefixWatch::watch()
{
    m_retryAt = absl::InfiniteFuture();
    m_watchCall = m_outbox.toStore(StoreWatch { m_prefix, m_revision });
}

void PrefixWatch::retryLater(absl::Time now)
{
    m_retryAt = now + fullJitter(firstRetry, maxRetry, m_failures++, m_random);
}

absl::optional<PrefixChange> PrefixWatch::handleStoreReply(CallId call, const StoreReply& reply, absl::Time now)
{
    const bool isList = call == m_listCall;
    if (!reply.status.ok()) {
        if (isList) {
            m_listCall = 0;
            m_isListDue = true;
        } else {
            m_watchCall = 0;
            m_isListDue = errorKindOf(reply.status) == ErrorKind::WatchExpired;
        }
        retryLater(now);
        return absl::nullopt;
    }
    m_failures = 0;
    if (isList)
        m_listCall = 0;
    // A reply that arrives after a later one is dropped, so that the state never goes back.
    const bool isStale = reply.revision < m_revision;
    m_revision = std::max(m_revision, reply.revision);
    if (isList && m_watchCall == 0)
        watch();
    if (isStale)
        return absl::nullopt;
    return PrefixChange { isList, reply.revision, reply.entries };
}

void PrefixWatch::wake(absl::Time now)
{
    if (m_retryAt > now)
        return;
    if (m_isListDue || m_revision == 0)
        list();
    else
        watch();
}

} // namespace mangohall
