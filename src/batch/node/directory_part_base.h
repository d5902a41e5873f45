#pragma once

#include <memory>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "batch/node/node_base.h"
#include "batch/node/outbox_base.h"
#include "batch/store/collection_follower_base.h"

namespace mangohall::batch {

// Keeps the manifest, tells the other parts of it and of how fresh it is, and says whether the node is ready.
class DirectoryPart : public NodePart {
public:
    explicit DirectoryPart(const NodeSettings& settings);

    Effects handle(const Event& event, absl::Time now) override;

private:
    void takeStoreReply(const StoreReply& reply, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void takeManifest(const Record& record, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void noteStore(const CollectionNews& news, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void tellParts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void startDrain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void endDrain(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void updateReadiness(absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    absl::Time nextDue(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const NodeSettings m_settings;
    absl::Mutex m_mutex;
    Outbox m_outbox ABSL_GUARDED_BY(m_mutex);
    CollectionFollower m_manifest ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const RouteTable> m_routes ABSL_GUARDED_BY(m_mutex);
    bool m_isReady ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isStoreLost ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDraining ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isOwnerDrained ABSL_GUARDED_BY(m_mutex) = false;
    bool m_isDrained ABSL_GUARDED_BY(m_mutex) = false;
    absl::Time m_drainUntil ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
};

} // namespace mangohall::batch
