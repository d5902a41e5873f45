// A discrete-event scheduler on a manually advanced clock.
#pragma once

#include <functional>
#include <map>
#include <stdexcept>
#include <utility>

#include "absl/time/time.h"
#include "fakes/manual_clock_base.h"

namespace mangohall {

// Runs actions in the order of their times. Actions with the same time run in the order in which they were added.
class Timeline {
public:
    using Action = std::function<void()>;

    const ManualClock& clock() const { return m_clock; }
    absl::Time now() const { return m_clock.now(); }

    // Schedules an action after the delay.
    void after(absl::Duration delay, Action action) { at(now() + delay, std::move(action)); }

    // Schedules an action at the time, now if it has passed.
    void at(absl::Time time, Action action)
    {
        m_actions.emplace(Due { std::max(time, now()), ++m_count }, std::move(action));
    }

    // Returns the time of the next action, the infinite future if there is none.
    absl::Time nextDue() const { return m_actions.empty() ? absl::InfiniteFuture() : m_actions.begin()->first.at; }

    // Runs everything that is due up to `end` and leaves the clock at `end`.
    void runUntil(absl::Time end)
    {
        while (!m_actions.empty() && m_actions.begin()->first.at <= end) {
            const auto first = m_actions.begin();
            checkProgress(first->first.at);
            m_clock.advance(first->first.at - now());
            const Action action = std::move(first->second);
            m_actions.erase(first);
            action();
        }
        m_clock.advance(end - now());
    }

private:
    // The sort key of an action: its time, then the order of insertion.
    struct Due {
        absl::Time at;
        std::uint64_t order = 0;
        friend bool operator<(const Due& left, const Due& right)
        {
            return left.at != right.at ? left.at < right.at : left.order < right.order;
        }
    };

    // Throws if too many actions run without the clock advancing, so that a node that keeps waking itself at the same
    // instant fails the test instead of hanging it.
    void checkProgress(absl::Time at)
    {
        constexpr int maxActionsPerInstant = 100000;
        m_actionsAtInstant = at > now() ? 0 : m_actionsAtInstant + 1;
        if (m_actionsAtInstant > maxActionsPerInstant)
            throw std::runtime_error("more than 100000 actions at one instant of the simulated clock");
    }

    ManualClock m_clock;
    int m_actionsAtInstant = 0;
    std::uint64_t m_count = 0;
    std::map<Due, Action> m_actions;
};

} // namespace mangohall
