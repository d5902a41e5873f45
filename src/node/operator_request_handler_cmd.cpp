#include <algorithm>

#include "absl/strings/str_cat.h"
#include "configuration/configuration_func.h"
#include "core/backoff_func.h"
#include "core/error_func.h"
#include "node/declaration_test_func.h"
#include "node/operator_request_handler_base.h"
#include "node/outbox_func.h"

namespace mangohall {

namespace {

// How long a write is repeated if the store does not reply. The operator is then told that the outcome is unknown.
constexpr absl::Duration editTimeout = absl::Seconds(8);
// Bounds of the delay before a failed write is repeated.
constexpr absl::Duration firstRetry = absl::Milliseconds(100);
constexpr absl::Duration maxRetry = absl::Seconds(1);

// Whether the present entry was written by the change itself, that is, by an earlier write whose reply was lost.
bool isSameChange(const absl::optional<ConfigObject>& requested, const StoreEntry& present)
{
    const auto* object = std::get_if<ConfigObject>(&present.value);
    return requested && object != nullptr && !requested->changeId.empty() && object->changeId == requested->changeId;
}

} // namespace

OperatorRequestHandler::OperatorRequestHandler(std::size_t maxWatches, RandomSource& random, Outbox& outbox)
    : m_maxWatches(maxWatches)
    , m_random(random)
    , m_outbox(outbox)
{
}

void OperatorRequestHandler::answer(CallerId caller, CallerAnswer answer, bool isLast)
{
    m_answers.push_back({ caller, std::move(answer), isLast });
}

void OperatorRequestHandler::refuse(CallerId caller, ErrorKind kind, absl::string_view message)
{
    answer(caller, ErrorAnswer { kind, std::string(message), 0, 0 });
}

void OperatorRequestHandler::request(const CallerEvent& event, const ClusterView& view, absl::Time now)
{
    const bool isRead = std::holds_alternative<ReadRequest>(event.request)
        || std::holds_alternative<WatchRequest>(event.request) || std::holds_alternative<ViewRequest>(event.request);
    if (!event.identity.isOperator && !isRead) {
        refuse(event.caller, ErrorKind::PermissionDenied, "only operators may declare resources");
        return;
    }
    if (view.configuration.revision() == 0) {
        refuse(event.caller, ErrorKind::StoreUnavailable, "the configuration has not been read yet");
        return;
    }
    if (const auto* put = std::get_if<PutRequest>(&event.request))
        this->put(event.caller, *put, view, now);
    else if (const auto* removal = std::get_if<DeleteRequest>(&event.request))
        remove(event.caller, *removal, view, now);
    else if (const auto* read = std::get_if<ReadRequest>(&event.request))
        this->read(event.caller, *read, view);
    else if (const auto* watch = std::get_if<WatchRequest>(&event.request))
        openWatch(event.caller, *watch, view);
    else if (const auto* requested = std::get_if<ViewRequest>(&event.request))
        answerView(event.caller, *requested, view);
}

void OperatorRequestHandler::put(CallerId caller, const PutRequest& request, const ClusterView& view, absl::Time now)
{
    if (const absl::Status status = testDeclaration(request.spec, view.directory); !status.ok()) {
        refuse(caller, errorKindOf(status), status.message());
        return;
    }
    Edit edit;
    edit.caller = caller;
    edit.key = configKey(kindOf(request.spec), nameOf(request.spec));
    edit.object = ConfigObject { request.spec, 0, request.changeId };
    edit.expectedRevision = request.expectedRevision;
    edit.until = now + editTimeout;
    const ConfigObject* present = view.configuration.find(edit.key);
    edit.triedRevision = request.expectedRevision.value_or(present == nullptr ? 0 : present->revision);
    send(std::move(edit));
}

void OperatorRequestHandler::remove(
    CallerId caller, const DeleteRequest& request, const ClusterView& view, absl::Time now)
{
    Edit edit;
    edit.caller = caller;
    edit.key = configKey(request.kind, request.name);
    edit.expectedRevision = request.expectedRevision;
    edit.until = now + editTimeout;
    const ConfigObject* present = view.configuration.find(edit.key);
    if (present == nullptr) {
        refuse(caller, ErrorKind::NotFound, edit.key);
        return;
    }
    if (const absl::Status status = testRemoval(request.kind, request.name, view.directory); !status.ok()) {
        refuse(caller, errorKindOf(status), status.message());
        return;
    }
    edit.triedRevision = request.expectedRevision.value_or(present->revision);
    send(std::move(edit));
}

void OperatorRequestHandler::send(Edit edit)
{
    StoreCompareAndSwap write;
    write.key = edit.key;
    write.expectedRevision = edit.triedRevision;
    if (edit.object)
        write.value = *edit.object;
    const CallId call = m_outbox.toStore(std::move(write));
    m_edits.emplace(call, std::move(edit));
}

void OperatorRequestHandler::handleStoreReply(
    CallId call, const StoreReply& reply, const ClusterView& view, absl::Time now)
{
    const auto found = m_edits.find(call);
    Edit edit = std::move(found->second);
    m_edits.erase(found);
    if (reply.status.ok()) {
        answerSuccess(edit, reply.revision, view);
        return;
    }
    if (errorKindOf(reply.status) == ErrorKind::RevisionConflict) {
        handleConflict(std::move(edit), reply, view, now);
        return;
    }
    // The write may have taken effect. Repeating the same compare-and-swap shows it, since only one of them can
    // succeed.
    edit.mayHaveTakenEffect = true;
    if (now >= edit.until) {
        refuse(edit.caller, ErrorKind::StoreUnavailable,
            "the store does not answer; whether the change took effect is unknown");
        return;
    }
    edit.retryAt = now + fullJitter(firstRetry, maxRetry, edit.failures++, m_random);
    m_waitingEdits.push_back(std::move(edit));
}

void OperatorRequestHandler::handleConflict(Edit edit, const StoreReply& reply, const ClusterView& view, absl::Time now)
{
    const StoreEntry present = reply.entries.empty() ? StoreEntry() : reply.entries.front();
    if (isSameChange(edit.object, present)) {
        answerSuccess(edit, present.modRevision, view);
        return;
    }
    const bool isAlreadyDeleted = !edit.object && present.modRevision == 0;
    if (isAlreadyDeleted) {
        if (edit.mayHaveTakenEffect)
            answerSuccess(edit, reply.revision, view);
        else
            refuse(edit.caller, ErrorKind::NotFound, edit.key);
        return;
    }
    const bool mayOverwrite = !edit.expectedRevision && !edit.mayHaveTakenEffect && now < edit.until;
    if (mayOverwrite) {
        edit.triedRevision = present.modRevision;
        send(std::move(edit));
        return;
    }
    ErrorAnswer conflict;
    conflict.kind = ErrorKind::RevisionConflict;
    conflict.message = absl::StrCat(edit.key, " was changed concurrently");
    conflict.expectedRevision = edit.triedRevision;
    conflict.presentRevision = present.modRevision;
    answer(edit.caller, std::move(conflict));
}

void OperatorRequestHandler::answerSuccess(const Edit& edit, Revision revision, const ClusterView& view)
{
    if (!edit.object) {
        answer(edit.caller, DeletedAnswer { revision });
        return;
    }
    ConfigObject object = *edit.object;
    object.revision = revision;
    answer(edit.caller, describe(object, view));
}

ConfigAnswer OperatorRequestHandler::describe(const ConfigObject& object, const ClusterView& view) const
{
    ConfigAnswer described;
    described.object = object;
    described.lagging = view.appliedRevisions.lagging(view.directory, object.revision);
    described.isInForce = described.lagging.empty();
    return described;
}

void OperatorRequestHandler::read(CallerId caller, const ReadRequest& request, const ClusterView& view)
{
    if (request.name.empty()) {
        ConfigListAnswer list;
        list.revision = view.configuration.revision();
        for (const ConfigObject& object : view.configuration.list(request.kind))
            list.objects.push_back(describe(object, view));
        answer(caller, std::move(list));
        return;
    }
    const ConfigObject* object = view.configuration.find(configKey(request.kind, request.name));
    if (object == nullptr) {
        refuse(caller, ErrorKind::NotFound, configKey(request.kind, request.name));
        return;
    }
    answer(caller, describe(*object, view));
}

void OperatorRequestHandler::openWatch(CallerId caller, const WatchRequest& request, const ClusterView& view)
{
    if (m_watches.size() >= m_maxWatches) {
        refuse(caller, ErrorKind::TooManyWatches,
            absl::StrCat("this entry already serves its maximum of ", m_maxWatches, " watches"));
        return;
    }
    if (!view.configuration.changesAfter(request.afterRevision)) {
        refuse(caller, ErrorKind::WatchExpired,
            "changes after this revision are no longer available; list the resources again");
        return;
    }
    m_watches.push_back({ caller, request.kind, request.afterRevision });
    sendChanges(m_watches.back(), view);
}

void OperatorRequestHandler::sendChanges(Watch& watch, const ClusterView& view)
{
    const absl::optional<std::vector<ConfigChange>> changes = view.configuration.changesAfter(watch.sentRevision);
    if (!changes)
        return;
    ChangeAnswer update;
    update.revision = view.configuration.revision();
    const std::string prefix = configKey(watch.kind, "");
    for (const ConfigChange& change : *changes) {
        if (change.key.compare(0, prefix.size(), prefix) != 0)
            continue;
        if (change.object)
            update.changed.push_back(*change.object);
        else
            update.deletedNames.push_back(change.key.substr(prefix.size()));
    }
    watch.sentRevision = update.revision;
    if (!update.changed.empty() || !update.deletedNames.empty())
        answer(watch.caller, std::move(update), false);
}

void OperatorRequestHandler::notifyWatches(const ClusterView& view)
{
    for (Watch& watch : m_watches)
        sendChanges(watch, view);
}

void OperatorRequestHandler::handleCallerGone(CallerId caller)
{
    m_watches.erase(std::remove_if(m_watches.begin(), m_watches.end(),
                        [caller](const Watch& watch) { return watch.caller == caller; }),
        m_watches.end());
}

void OperatorRequestHandler::answerView(CallerId caller, const ViewRequest& request, const ClusterView& view)
{
    if (request.kind == ViewKind::Nodes) {
        NodesAnswer nodes;
        for (const auto& [name, member] : view.directory.members)
            nodes.members.push_back(member);
        std::sort(nodes.members.begin(), nodes.members.end(),
            [](const Member& left, const Member& right) { return left.node < right.node; });
        answer(caller, std::move(nodes));
        return;
    }
    ShardsAnswer shards;
    for (const ShardSpec& spec : view.directory.shards) {
        ShardView shard;
        shard.spec = spec;
        shard.owner = ownerOf(view.directory, spec.name);
        const auto owner = view.directory.owners.find(spec.name);
        if (owner != view.directory.owners.end())
            shard.epoch = owner->second.record.epoch;
        const auto capacity = view.capacities.find(spec.name);
        if (capacity != view.capacities.end())
            shard.capacity = capacity->second;
        shards.shards.push_back(std::move(shard));
    }
    answer(caller, std::move(shards));
}

void OperatorRequestHandler::wake(absl::Time now)
{
    std::vector<Edit> waiting = std::exchange(m_waitingEdits, {});
    for (Edit& edit : waiting) {
        if (edit.retryAt <= now)
            send(std::move(edit));
        else
            m_waitingEdits.push_back(std::move(edit));
    }
}

absl::Time OperatorRequestHandler::nextWake() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const Edit& edit : m_waitingEdits)
        next = std::min(next, edit.retryAt);
    return next;
}

} // namespace mangohall
