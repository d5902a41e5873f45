#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"
#include "batch/store/collection_follower_base.h"

namespace mangohall::batch {

// Follows the manifest and the evacuations in the store, notifies the other parts of them and of the time of their last
// confirmation, reports whether the node is ready for new connections, and times the node's drain.
class DirectoryPart : public NodePart {
public:
    explicit DirectoryPart(const NodeSettings& settings);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void handleStoreReply(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Replaces the manifest by a newer version, and logs this. An unreadable record is logged and ignored.
    void applyManifest(const Record& record, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Applies the requests to evacuate data centres, and logs what has changed.
    void applyEvacuations(const CollectionUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Logs when the store stops or resumes answering.
    void recordStoreState(const CollectionUpdate& update, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Sends the manifest, the evacuations and the time of their confirmation to the other parts.
    void notifyParts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Starts the drain time and passes the drain on to the owner part.
    void startDrain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Reports the node as drained when the drain time has passed.
    void endDrain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Reports a change of readiness. A node is ready while its manifest is recent enough and it does not drain.
    void updateReadiness(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // The time at which the part has to be woken.
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings m_settings;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    // Follows the records of the manifest and the evacuations in the store.
    CollectionFollower m_manifest ABSL_GUARDED_BY(m_mutex);
    // Null until a manifest has been read.
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    // Never null. It is replaced, not changed, since other parts read it.
    std::shared_ptr<const EvacuationSet> m_evacuations ABSL_GUARDED_BY(m_mutex)
        = std::make_shared<const EvacuationSet>();
    // The readiness that was reported last.
    bool m_isReady ABSL_GUARDED_BY(m_mutex) = false;
    // The last call to the store has failed.
    bool m_isStoreLost ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    // The owner part has released the ownership.
    bool m_isOwnerDrained ABSL_GUARDED_BY(m_mutex) = false;
    // The node has been reported as drained.
    bool m_isDrained ABSL_GUARDED_BY(m_mutex) = false;
    // The time until which a draining node serves open connections; the infinite future without a drain.
    absl::Time m_drainEndsAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
};

} // namespace mangohall::batch
