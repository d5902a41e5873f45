// Serves operators at an entry: declare, delete, read, watch.
#pragma once

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "configuration/applied_revision_tracker_base.h"
#include "configuration/configuration_view_base.h"
#include "membership/directory_type.h"
#include "node/caller_message_type.h"
#include "node/outbox_base.h"
#include "ports/random_port.h"

namespace mangohall {

// Turns each declaration into one compare-and-swap. An answer of the store that is lost after the write is settled by
// reading back: the change id tells whether the write took effect.
class OperatorDesk {
public:
    OperatorDesk(std::size_t maxWatches, RandomSource& random, Outbox& outbox);

    // What the desk reads while it serves a request.
    struct Sight {
        const ConfigurationView& configuration;
        const AppliedRevisionTracker& force;
        const Directory& directory;
        const absl::flat_hash_map<ShardName, CapacitySummary>& capacities;
    };

    void request(const CallerEvent& event, const Sight& sight, absl::Time now);
    void callerGone(CallerId caller);
    bool ownsCall(CallId call) const { return m_edits.contains(call); }
    void storeReplied(CallId call, const StoreReply& reply, const Sight& sight, absl::Time now);
    // Sends what is new to the watches.
    void configurationChanged(const Sight& sight);
    void wake(absl::Time now);
    absl::Time nextWake() const;

    std::vector<AnswerEffect> takeAnswers() { return std::exchange(m_answers, {}); }

private:
    // A declaration or deletion on its way to the store.
    struct Edit {
        CallerId caller = 0;
        std::string key;
        // Empty for a deletion.
        absl::optional<ConfigObject> object;
        absl::optional<Revision> expectedRevision;
        Revision triedRevision = 0;
        // An earlier write may have taken effect.
        bool isUnsettled = false;
        absl::Time until;
        absl::Time retryAt = absl::InfiniteFuture();
        int failures = 0;
    };

    // An open watch of one kind.
    struct Watch {
        CallerId caller = 0;
        ConfigKind kind = ConfigKind::Organisation;
        Revision sentRevision = 0;
    };

    void put(CallerId caller, const PutRequest& request, const Sight& sight, absl::Time now);
    void remove(CallerId caller, const DeleteRequest& request, const Sight& sight, absl::Time now);
    void read(CallerId caller, const ReadRequest& request, const Sight& sight);
    void openWatch(CallerId caller, const WatchRequest& request, const Sight& sight);
    void view(CallerId caller, const ViewRequest& request, const Sight& sight);
    void sendChanges(Watch& watch, const Sight& sight);
    void send(Edit edit);
    void conflicted(Edit edit, const StoreReply& reply, const Sight& sight, absl::Time now);
    void succeeded(const Edit& edit, Revision revision, const Sight& sight);
    void answer(CallerId caller, CallerAnswer answer, bool isLast = true);
    void refuse(CallerId caller, ErrorKind kind, absl::string_view message);
    ConfigAnswer describe(const ConfigObject& object, const Sight& sight) const;

    const std::size_t m_maxWatches;
    RandomSource& m_random;
    Outbox& m_outbox;
    absl::flat_hash_map<CallId, Edit> m_edits;
    std::vector<Edit> m_waitingEdits;
    std::vector<Watch> m_watches;
    std::vector<AnswerEffect> m_answers;
};

} // namespace mangohall
