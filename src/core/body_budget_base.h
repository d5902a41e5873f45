#pragma once

#include <cstddef>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace mangohall {

// Limits how many bytes of unfinished request bodies a front end holds in all. Bytes are counted as they are held, not
// as they are announced. Safe to call from several threads.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t limitBytes)
        : m_limitBytes(limitBytes)
    {
    }

    // Reserves the bytes. Returns false and reserves nothing if they exceed what is left of the limit.
    bool tryReserve(std::size_t bytes)
    {
        absl::MutexLock lock(&m_mutex);
        if (bytes > m_limitBytes - m_usedBytes)
            return false;
        m_usedBytes += bytes;
        return true;
    }

    // Gives back bytes that were reserved.
    void release(std::size_t bytes)
    {
        absl::MutexLock lock(&m_mutex);
        m_usedBytes -= bytes;
    }

    std::size_t limitBytes() const { return m_limitBytes; }

    std::size_t usedBytes() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_usedBytes;
    }

private:
    const std::size_t m_limitBytes;
    mutable absl::Mutex m_mutex;
    std::size_t m_usedBytes ABSL_GUARDED_BY(m_mutex) = 0;
};

// The bytes that one request body holds of a budget. They are given back when it is destroyed.
class BodyReservation {
public:
    explicit BodyReservation(BodyBudget& budget)
        : m_budget(budget)
    {
    }
    ~BodyReservation() { release(); }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    // Reserves more bytes. Returns false and reserves nothing if the budget has too few left.
    bool tryGrow(std::size_t bytes)
    {
        if (!m_budget.tryReserve(bytes))
            return false;
        m_bytes += bytes;
        return true;
    }

    // Gives back all bytes.
    void release()
    {
        m_budget.release(m_bytes);
        m_bytes = 0;
    }

    std::size_t bytes() const { return m_bytes; }

private:
    BodyBudget& m_budget;
    std::size_t m_bytes = 0;
};

} // namespace mangohall
