// What is due when, on the paused clock.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <utility>

#include "absl/time/time.h"
#include "fakes/manual_clock_base.h"

namespace mangohall {

// Runs actions in the order of their times; those of one time in the order in which they were added.
class Timeline {
public:
    using Action = std::function<void()>;

    const ManualClock& clock() const { return m_clock; }
    absl::Time now() const { return m_clock.now(); }

    void after(absl::Duration delay, Action action) { at(now() + delay, std::move(action)); }

    void at(absl::Time time, Action action)
    {
        m_actions.emplace(Due { std::max(time, now()), ++m_count }, std::move(action));
    }

    // The time of the next action; the infinite future if there is none.
    absl::Time nextDue() const { return m_actions.empty() ? absl::InfiniteFuture() : m_actions.begin()->first.at; }

    // Runs everything due up to the time and leaves the clock there.
    void runUntil(absl::Time end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.at <= end) {
            const auto first = m_actions.begin();
            countInstant(first->first.at);
            m_clock.advance(first->first.at - now());
            const Action action = std::move(first->second);
            m_actions.erase(first);
            action();
        }
        m_clock.advance(end - now());
    }

private:
    struct Due {
        absl::Time at;
        std::uint64_t order = 0;
        friend bool operator<(const Due& left, const Due& right)
        {
            return left.at != right.at ? left.at < right.at : left.order < right.order;
        }
    };

    // A node that wakes for ever at one moment fails the test instead of hanging it.
    void countInstant(absl::Time at)
    {
        constexpr int maxActionsOfInstant = 100000;
        m_instantCount = at > now() ? 0 : m_instantCount + 1;
        if (m_instantCount > maxActionsOfInstant)
            throw std::runtime_error("time stands still: something wakes for ever");
    }

    ManualClock m_clock;
    int m_instantCount = 0;
    std::uint64_t m_count = 0;
    std::map<Due, Action> m_actions;
};

} // namespace mangohall
