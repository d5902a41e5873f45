#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/strip.h"
#include "configuration/configuration_func.h"
#include "core/time_const.h"
#include "membership/membership_func.h"
#include "node/directory_part_base.h"
#include "node/outbox_func.h"

namespace mangohall {

namespace {

// The time between two reports of the applied revision if it does not change.
constexpr absl::Duration reportPeriod = absl::Seconds(2);
// The number of reports between two lists of all members and owners.
constexpr int reportsPerListing = 5;

} // namespace

DirectoryPart::DirectoryPart(const NodeSettings& settings, std::size_t partCount, std::uint64_t seed)
    : m_self(settings.self)
    , m_partCount(partCount)
    , m_random(seed)
    , m_registration(settings.self, m_random, m_outbox)
    , m_clusterWatch(std::string(clusterPrefix()), m_random, m_outbox)
    , m_configWatch(std::string(configPrefix()), m_random, m_outbox)
    , m_operatorRequests(settings.maxWatches, m_random, m_outbox)
    , m_directory(std::make_shared<Directory>())
    , m_drainedParts(partCount, false)
{
    m_drainedParts[0] = true;
}

Effects DirectoryPart::handle(const Event& event, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    if (!m_isStarted)
        start(now);
    handleEvent(event, now);
    for (AnswerEffect& answer : m_operatorRequests.takeAnswers())
        m_effects.push_back(std::move(answer));
    appendEffects(m_outbox, *m_directory, m_self, m_effects);
    const absl::Time next = nextWake();
    if (next != m_requestedWake) {
        m_requestedWake = next;
        m_effects.push_back(WakeAtEffect { next });
    }
    return std::exchange(m_effects, {});
}

void DirectoryPart::start(absl::Time now)
{
    m_isStarted = true;
    m_registration.start();
    m_clusterWatch.start();
    m_configWatch.start();
    m_reportAt = now + reportPeriod;
}

void DirectoryPart::handleEvent(const Event& event, absl::Time now)
{
    const OperatorRequestHandler::ClusterView view { m_configuration, m_appliedRevisions, *m_directory, m_capacities };
    if (std::holds_alternative<WakeEvent>(event))
        wake(now);
    else if (const auto* reply = std::get_if<StoreEvent>(&event))
        handleStoreReply(*reply, now);
    else if (const auto* peer = std::get_if<PeerEvent>(&event))
        handlePeerMessage(peer->message);
    else if (const auto* caller = std::get_if<CallerEvent>(&event))
        m_operatorRequests.request(*caller, view, now);
    else if (const auto* gone = std::get_if<CallerDisconnectedEvent>(&event))
        handleCallerGone(*gone);
    else if (std::holds_alternative<DrainEvent>(event))
        startDraining(now);
    else if (const auto* drained = std::get_if<PartDrainedEvent>(&event))
        markPartDrained(drained->part);
}

void DirectoryPart::handleStoreReply(const StoreEvent& event, absl::Time now)
{
    if (m_registration.ownsCall(event.call)) {
        m_registration.handleStoreReply(event.reply, now);
    } else if (m_clusterWatch.ownsCall(event.call)) {
        if (const auto change = m_clusterWatch.handleStoreReply(event.call, event.reply, now))
            applyClusterChange(*change);
    } else if (m_configWatch.ownsCall(event.call)) {
        const auto change = m_configWatch.handleStoreReply(event.call, event.reply, now);
        if (change && m_configuration.apply(*change)) {
            publish();
            reportRevision();
            m_operatorRequests.notifyWatches({ m_configuration, m_appliedRevisions, *m_directory, m_capacities });
        }
    } else if (m_operatorRequests.ownsCall(event.call)) {
        m_operatorRequests.handleStoreReply(
            event.call, event.reply, { m_configuration, m_appliedRevisions, *m_directory, m_capacities }, now);
    }
}

void DirectoryPart::handleCallerGone(const CallerDisconnectedEvent& event)
{
    m_operatorRequests.handleCallerGone(event.caller);
    notifyParts(event);
}

void DirectoryPart::handlePeerMessage(const PeerMessage& message)
{
    if (const auto* report = std::get_if<RevisionReport>(&message.payload)) {
        m_appliedRevisions.recordReport(message.from, report->revision);
        // If a peer has applied a later revision, this node's watch may have stalled: list the resources again.
        const bool isBehind = report->revision > m_configWatch.revision();
        if (isBehind && m_configWatch.isLoaded())
            m_configWatch.refresh();
    } else if (const auto* capacity = std::get_if<CapacitySummary>(&message.payload)) {
        m_capacities.insert_or_assign(capacity->shard, *capacity);
        notifyParts(PeerEvent { message });
    }
}

void DirectoryPart::applyClusterChange(const PrefixChange& change)
{
    for (const StoreEntry& entry : change.entries)
        applyClusterEntry(entry);
    if (change.isWhole)
        removeMissing(change);
    publish();
    reportRevision();
}

void DirectoryPart::applyClusterEntry(const StoreEntry& entry)
{
    if (const auto* member = std::get_if<Member>(&entry.value)) {
        Revision& known = m_memberRevisions[member->node];
        if (entry.modRevision > known && member->node != m_self.node)
            m_appliedRevisions.removeNode(member->node);
        known = std::max(known, entry.modRevision);
        m_members.insert_or_assign(member->node, *member);
        return;
    }
    if (const auto* owner = std::get_if<OwnerRecord>(&entry.value)) {
        ShardOwner& known = m_owners[owner->shard];
        if (entry.modRevision > known.modRevision)
            known = { *owner, entry.modRevision };
        return;
    }
    absl::string_view key = entry.key;
    if (entry.isDeleted && absl::ConsumePrefix(&key, memberKey(NodeName())))
        m_members.erase(NodeName(key));
}

void DirectoryPart::removeMissing(const PrefixChange& change)
{
    absl::flat_hash_set<NodeName> listed;
    for (const StoreEntry& entry : change.entries) {
        if (const auto* member = std::get_if<Member>(&entry.value))
            listed.insert(member->node);
    }
    absl::erase_if(m_members, [&listed](const auto& member) { return !listed.contains(member.first); });
}

void DirectoryPart::publish()
{
    auto directory = std::make_shared<Directory>();
    directory->members = m_members;
    directory->owners = m_owners;
    m_configuration.fill(*directory);
    m_directory = directory;
    m_appliedRevisions.retainMembers(*m_directory);
    notifyParts(DirectoryEvent { m_directory });
}

void DirectoryPart::notifyParts(const Event& event)
{
    for (PartIndex part = 1; part < m_partCount; ++part)
        m_effects.push_back(NotifyEffect { part, event });
}

void DirectoryPart::reportRevision()
{
    m_appliedRevisions.recordReport(m_self.node, m_configuration.revision());
    if (m_configuration.revision() == 0)
        return;
    for (const auto& [node, member] : m_members) {
        if (node != m_self.node)
            m_outbox.toNode(node, RevisionReport { m_configuration.revision() });
    }
}

void DirectoryPart::startDraining(absl::Time now)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_registration.markLeaving(now);
    notifyParts(DrainEvent());
    markPartDrained(0);
}

void DirectoryPart::markPartDrained(PartIndex part)
{
    m_drainedParts[part] = true;
    const bool areAllDrained
        = std::all_of(m_drainedParts.begin(), m_drainedParts.end(), [](bool drained) { return drained; });
    if (!m_isDraining || !areAllDrained)
        return;
    m_registration.unregister();
    m_effects.push_back(DrainedEffect());
}

void DirectoryPart::wake(absl::Time now)
{
    m_requestedWake = absl::InfinitePast();
    m_registration.wake(now);
    m_clusterWatch.wake(now);
    m_configWatch.wake(now);
    m_operatorRequests.wake(now);
    if (m_reportAt <= now) {
        m_reportAt = now + reportPeriod;
        reportRevision();
        // A stalled watch would never show that a member has died, so the members are listed from time to time.
        if (++m_reportCount % reportsPerListing == 0)
            m_clusterWatch.refresh();
    }
}

absl::Time DirectoryPart::nextWake() const
{
    return std::min({ m_registration.nextWake(), m_clusterWatch.nextWake(), m_configWatch.nextWake(),
        m_operatorRequests.nextWake(), m_reportAt });
}

} // namespace mangohall
