#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/btree_set.h"
#include "core/name_type.h"

namespace mangohall::batch {

// Limits how many workers a new owner polls for the first time at once: on a large site the owner would otherwise have
// no processor time left to renew its lease. A worker that has not replied waits behind the workers that have not been
// polled yet. Not safe to call from several threads.
class InitialPollQueue {
public:
    void clear() { *this = InitialPollQueue(); }

    // Admits workers that wait, as many as there are free slots, and returns them. Each of them holds a slot until
    // `tryAdmit` or `dropAdmission` is called for it.
    std::vector<WorkerName> takeAdmitted();
    // Whether the worker may be polled now. If not, it is queued.
    bool tryAdmit(const WorkerName& worker);
    // Records that a poll of the worker was sent, and that it has ended.
    void recordPoll(const WorkerName& worker) { m_polling.insert(worker); }
    void recordReply(const WorkerName& worker) { m_polling.erase(worker); }
    // Gives up the admission of a worker that needs no poll now.
    void dropAdmission(const WorkerName& worker) { m_admitted.erase(worker); }
    // Removes a worker that the registry no longer has.
    void remove(const WorkerName& worker);

private:
    bool hasFreeSlot() const;

    // Workers with a pending poll, and workers that are admitted but not polled yet.
    absl::btree_set<WorkerName> m_polling;
    absl::btree_set<WorkerName> m_admitted;
    // The queued workers, and the order in which they were queued. A name in the order may have been removed from the
    // set.
    absl::btree_set<WorkerName> m_waiting;
    std::deque<WorkerName> m_waitingOrder;
};

} // namespace mangohall::batch
