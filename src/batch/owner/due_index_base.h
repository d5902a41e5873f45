#pragma once

#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"

namespace mangohall::batch {

// When each of many things has to be looked at next. What it costs does not follow how many are not due. Not safe to
// call from several threads.
template <typename Key> class DueIndex {
public:
    void clear()
    {
        m_order.clear();
        m_times.clear();
    }

    // Replaces the time that the key had. The infinite future takes it out.
    void set(const Key& key, absl::Time due)
    {
        const auto known = m_times.find(key);
        if (known != m_times.end()) {
            if (known->second == due)
                return;
            m_order.erase({ known->second, key });
            m_times.erase(known);
        }
        if (due == absl::InfiniteFuture())
            return;
        m_order.emplace(due, key);
        m_times.emplace(key, due);
    }

    // The earliest time of any key; the infinite future if there is none.
    absl::Time next() const { return m_order.empty() ? absl::InfiniteFuture() : m_order.begin()->first; }

    // The keys that are due, earliest first. They stay until they get another time.
    std::vector<Key> dueBy(absl::Time now) const
    {
        std::vector<Key> due;
        for (auto entry = m_order.begin(); entry != m_order.end() && entry->first <= now; ++entry)
            due.push_back(entry->second);
        return due;
    }

private:
    absl::btree_set<std::pair<absl::Time, Key>> m_order;
    absl::btree_map<Key, absl::Time> m_times;
};

} // namespace mangohall::batch
