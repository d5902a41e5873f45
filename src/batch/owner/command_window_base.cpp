#include "batch/owner/command_window_base.h"

#include <algorithm>

namespace mangohall::batch {

namespace {

// A worker replies to a command at once; the rest of this time is for the link and for both processors.
constexpr absl::Duration lateReply = absl::Milliseconds(200);
// A call counts for no longer than this.
constexpr absl::Duration longestCount = absl::Milliseconds(250);
constexpr absl::Duration shortestRetryPeriod = absl::Milliseconds(250);
constexpr absl::Duration longestRetryPeriod = absl::Milliseconds(800);
constexpr double retryPerReplyTime = 3;
constexpr double replyTimeWeight = 0.125;
// The window of a node with a whole processor before the first replies.
constexpr double initialSizePerShare = 128;
constexpr double minSize = 4;
constexpr double maxSize = 512;
constexpr double shrinkFactor = 0.5;
constexpr double growthFactor = 1.5;
constexpr std::size_t minSamples = 4;

} // namespace

CommandWindow::CommandWindow(double processorShare)
    : m_initialSize(std::clamp(initialSizePerShare * processorShare, minSize, maxSize))
    , m_size(m_initialSize)
{
}

void CommandWindow::reset()
{
    m_size = m_initialSize;
    m_sent.clear();
    m_underWay.clear();
    m_samples = 0;
    m_lateSamples = 0;
    m_wasFull = false;
    m_promptSentAt = absl::InfinitePast();
    m_replyTime = absl::ZeroDuration();
}

void CommandWindow::recordSent(CallId call, absl::Time now)
{
    m_sent.push_back({ call, now });
    m_underWay.insert(call);
}

void CommandWindow::recordReply(CallId call, absl::Time sentAt, absl::Time now)
{
    m_underWay.erase(call);
    const absl::Duration took = now - sentAt;
    m_replyTime += (took - m_replyTime) * replyTimeWeight;
    const bool isLate = took > lateReply;
    if (!isLate)
        m_promptSentAt = std::max(m_promptSentAt, sentAt);
    addSample(isLate);
}

// If later commands were replied to in time, the lack of a reply says something of the worker only.
void CommandWindow::recordFailure(CallId call, absl::Time sentAt)
{
    m_underWay.erase(call);
    if (m_promptSentAt < sentAt)
        addSample(true);
}

void CommandWindow::addSample(bool isLate)
{
    ++m_samples;
    m_lateSamples += isLate ? 1 : 0;
    if (m_samples >= std::max(minSamples, size() / 2))
        adjust();
}

void CommandWindow::adjust()
{
    constexpr std::size_t most = 2;
    constexpr std::size_t few = 4;
    if (m_lateSamples * most >= m_samples)
        m_size = std::max(minSize, m_size * shrinkFactor);
    else if (m_lateSamples * few <= m_samples && m_wasFull)
        m_size = std::min(maxSize, m_size * growthFactor);
    m_samples = 0;
    m_lateSamples = 0;
    m_wasFull = false;
}

void CommandWindow::expire(absl::Time now)
{
    while (!m_sent.empty() && (m_sent.front().at + longestCount <= now || !m_underWay.contains(m_sent.front().call))) {
        m_underWay.erase(m_sent.front().call);
        m_sent.pop_front();
    }
}

std::size_t CommandWindow::room(absl::Time now)
{
    expire(now);
    const std::size_t used = std::min(m_underWay.size(), size());
    m_wasFull = m_wasFull || used == size();
    return size() - used;
}

absl::Time CommandWindow::nextRoomAt() const
{
    return m_sent.empty() ? absl::InfiniteFuture() : m_sent.front().at + longestCount;
}

absl::Duration CommandWindow::retryPeriod() const
{
    return std::clamp(m_replyTime * retryPerReplyTime, shortestRetryPeriod, longestRetryPeriod);
}

} // namespace mangohall::batch
