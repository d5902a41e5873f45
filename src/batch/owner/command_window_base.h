#pragma once

#include <cstddef>
#include <deque>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "batch/node/event_type.h"

namespace mangohall::batch {

// Limits the starts that are on their way to workers at once, so that an owner whose processor or link is
// slow sends no more than gets through in time. The window grows while replies come promptly, and shrinks while most of
// them come late. A call counts for a short while only: one to a silent worker holds up no other. Not safe to call from
// several threads.
class CommandWindow {
public:
    // `processorShare` is the share of a processor that the node may use.
    explicit CommandWindow(double processorShare);

    void reset();
    void recordSent(CallId call, absl::Time now);
    // Records the reply to a call that was sent then, or that it has ended without one.
    void recordReply(CallId call, absl::Time sentAt, absl::Time now);
    void recordFailure(CallId call, absl::Time sentAt);

    // The present limit.
    std::size_t size() const { return static_cast<std::size_t>(m_size); }
    // How many more starts may be sent now.
    std::size_t room(absl::Time now);
    // When there may be room without a further reply; the infinite future if no call counts.
    absl::Time nextRoomAt() const;
    // How long a start waits for its reply before it is sent again.
    absl::Duration retryPeriod() const;

private:
    // A call that counts until it is replied to, or until it is too old.
    struct Sent {
        CallId call = 0;
        absl::Time at;
    };

    void expire(absl::Time now);
    void addSample(bool isLate);
    void adjust();

    const double m_initialSize;
    double m_size;
    // The calls in the order of their sending, and those of them that have not ended.
    std::deque<Sent> m_sent;
    absl::flat_hash_set<CallId> m_underWay;
    // The replies since the last adjustment, and how many of them were late.
    std::size_t m_samples = 0;
    std::size_t m_lateSamples = 0;
    // The window was full since then.
    bool m_wasFull = false;
    // When the latest command was sent whose reply came in time.
    absl::Time m_promptSentAt = absl::InfinitePast();
    // The smoothed time from a command to its reply.
    absl::Duration m_replyTime = absl::ZeroDuration();
};

} // namespace mangohall::batch
