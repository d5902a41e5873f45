#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/btree_set.h"
#include "core/name_type.h"

namespace mangohall::batch {

// Lets a new owner look at a few of its workers at a time: on a large site it would otherwise have no processor left to
// renew its lease with. Whoever has been silent waits behind those that have not been asked yet. Not safe to call from
// several threads.
class FirstLookQueue {
public:
    void clear() { *this = FirstLookQueue(); }

    // The workers whose turn has come. For each, `admit` or `forgetTurn` has to come next.
    std::vector<WorkerName> takeTurns();
    // Whether the worker may be looked at now. If not, it waits for its turn.
    bool admit(const WorkerName& worker);
    // A look at the worker is out, and over.
    void noteLook(const WorkerName& worker) { m_out.insert(worker); }
    void noteReply(const WorkerName& worker) { m_out.erase(worker); }
    // The worker has nothing to be asked now.
    void forgetTurn(const WorkerName& worker) { m_turns.erase(worker); }
    // The worker is gone.
    void forget(const WorkerName& worker);

private:
    bool hasPlace() const;

    absl::btree_set<WorkerName> m_out;
    absl::btree_set<WorkerName> m_turns;
    // Those that wait, by name and in order; a name in the order may have been forgotten.
    absl::btree_set<WorkerName> m_waiting;
    std::deque<WorkerName> m_order;
};

} // namespace mangohall::batch
