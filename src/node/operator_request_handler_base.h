// Handles the requests of operators at an entry: declare, delete, read, watch and view.
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

// Writes each declaration with one compare-and-swap. If the store's reply is lost, the write is repeated; on a conflict
// the change id in the store shows whether the first write took effect.
class OperatorRequestHandler {
public:
    OperatorRequestHandler(std::size_t maxWatches, RandomSource& random, Outbox& outbox);

    // The state of the cluster that requests read; owned by the directory part.
    struct ClusterView {
        const ConfigurationView& configuration;
        const AppliedRevisionTracker& appliedRevisions;
        const Directory& directory;
        const absl::flat_hash_map<ShardName, CapacitySummary>& capacities;
    };

    // Handles a request of an operator, or a read of any caller. Refuses with PermissionDenied a declaration or
    // deletion by a caller, and with StoreUnavailable any request before the configuration has been read.
    void request(const CallerEvent& event, const ClusterView& view, absl::Time now);
    // Closes the watches of a caller that has closed its connection.
    void handleCallerGone(CallerId caller);
    // Whether this handler made the store call.
    bool ownsCall(CallId call) const { return m_edits.contains(call); }
    // Handles the reply to a store call of this handler.
    void handleStoreReply(CallId call, const StoreReply& reply, const ClusterView& view, absl::Time now);
    // Sends each open watch the changes that it has not been sent.
    void notifyWatches(const ClusterView& view);
    // Repeats the writes that are due.
    void wake(absl::Time now);
    // When `wake` has to be called next; infinite if nothing is due.
    absl::Time nextWake() const;

    // Moves out the answers to be sent.
    std::vector<AnswerEffect> takeAnswers() { return std::exchange(m_answers, {}); }

private:
    // A declaration or deletion that is being written to the store.
    struct Edit {
        CallerId caller = 0;
        // The store key of the resource.
        std::string key;
        // The resource to write; empty for a deletion.
        absl::optional<ConfigObject> object;
        // The revision that the operator expects; empty if any may be overwritten.
        absl::optional<Revision> expectedRevision;
        // The revision that the present write expects.
        Revision triedRevision = 0;
        // The reply to an earlier write was lost, so that the write may have taken effect.
        bool mayHaveTakenEffect = false;
        // When the edit is given up if the store does not reply.
        absl::Time until;
        absl::Time retryAt = absl::InfiniteFuture();
        // Consecutive failed writes.
        int failures = 0;
    };

    // An open watch of one kind.
    struct Watch {
        CallerId caller = 0;
        ConfigKind kind = ConfigKind::Organisation;
        // Changes up to this store revision have been sent.
        Revision sentRevision = 0;
    };

    void put(CallerId caller, const PutRequest& request, const ClusterView& view, absl::Time now);
    void remove(CallerId caller, const DeleteRequest& request, const ClusterView& view, absl::Time now);
    void read(CallerId caller, const ReadRequest& request, const ClusterView& view);
    // Opens a watch, or refuses it with TooManyWatches or WatchExpired.
    void openWatch(CallerId caller, const WatchRequest& request, const ClusterView& view);
    void answerView(CallerId caller, const ViewRequest& request, const ClusterView& view);
    void sendChanges(Watch& watch, const ClusterView& view);
    void send(Edit edit);
    void handleConflict(Edit edit, const StoreReply& reply, const ClusterView& view, absl::Time now);
    void answerSuccess(const Edit& edit, Revision revision, const ClusterView& view);
    void answer(CallerId caller, CallerAnswer answer, bool isLast = true);
    void refuse(CallerId caller, ErrorKind kind, absl::string_view message);
    ConfigAnswer describe(const ConfigObject& object, const ClusterView& view) const;

    const std::size_t m_maxWatches;
    RandomSource& m_random;
    Outbox& m_outbox;
    // The edits whose store call is pending.
    absl::flat_hash_map<CallId, Edit> m_edits;
    // The edits that wait to be repeated.
    std::vector<Edit> m_waitingEdits;
    std::vector<Watch> m_watches;
    std::vector<AnswerEffect> m_answers;
};

} // namespace mangohall
