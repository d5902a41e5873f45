#pragma once

#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"

namespace mangohall::batch {

// Keeps a due time for each of many keys. The cost of an operation grows with the logarithm of the number of keys and
// with the number of keys returned, not with the number of keys that are not due. Not safe to call from several
// threads.
template <typename Key> class DueIndex {
public:
    void clear()
    {
        m_order.clear();
        m_times.clear();
    }

    // Sets the due time of the key. The infinite future removes the key.
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

    // The keys that are due by the time, earliest first. They stay in the index until their time is set again.
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
