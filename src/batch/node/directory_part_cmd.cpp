#include "batch/node/directory_part_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// Short enough that two consecutive watches confirm the manifest well within its maximum age.
constexpr absl::Duration manifestWatchWait = absl::Milliseconds(1500);
// A node stops asking for new connections this long before its manifest reaches the maximum age.
constexpr absl::Duration readinessMargin = absl::Milliseconds(500);

} // namespace

DirectoryPart::DirectoryPart(const NodeSettings& settings)
    : m_settings(settings)
    , m_manifest(Collection::Manifest, manifestWatchWait)
{
}

Effects DirectoryPart::handle(const Event& event, absl::Time now)
{
    absl::MutexLock lock(&m_mutex);
    if (const auto* store = std::get_if<StoreEvent>(&event)) {
        if (m_manifest.ownsCall(store->call))
            handleStoreReply(store->reply, now);
    } else if (std::holds_alternative<DrainEvent>(event)) {
        startDrain(now);
    } else if (std::holds_alternative<PartDrainedEvent>(event)) {
        m_isOwnerDrained = true;
    }
    m_manifest.advance(m_outbox, now);
    updateReadiness(now);
    endDrain(now);
    m_outbox.add(WakeAtEffect { nextDue(now) });
    return m_outbox.take();
}

void DirectoryPart::handleStoreReply(const StoreReply& reply, absl::Time now)
{
    const CollectionUpdate update = m_manifest.handleReply(reply, now);
    recordStoreState(update, now);
    for (const Record& record : update.records)
        applyManifest(record, now);
    if (update.isConfirmed)
        applyEvacuations(update, now);
    if (update.isConfirmed && m_routes != nullptr)
        notifyParts();
}

void DirectoryPart::applyManifest(const Record& record, absl::Time now)
{
    if (record.key.collection != Collection::Manifest)
        return;
    DecisionEffect decision;
    if (const auto* unreadable = std::get_if<UnreadableRecord>(&record.value)) {
        decision.kind = DecisionEffect::Kind::RecordUnreadable;
        decision.reason = unreadable->reason;
        decision.version = record.revision;
        m_outbox.log(std::move(decision));
        return;
    }
    const auto* manifest = std::get_if<Manifest>(&record.value);
    if (manifest == nullptr)
        return;
    // A reply that arrives late must not restore an older manifest.
    if (m_routes != nullptr && manifest->version <= m_routes->manifest().version)
        return;
    m_routes = std::make_shared<const RouteTable>(*manifest);
    decision.kind = DecisionEffect::Kind::ManifestApplied;
    decision.version = manifest->version;
    decision.age = now - m_manifest.confirmedAt();
    m_outbox.log(std::move(decision));
}

void DirectoryPart::applyEvacuations(const CollectionUpdate& update, absl::Time now)
{
    EvacuationSet evacuations = *m_evacuations;
    const std::vector<EvacuationSet::Change> changes = evacuations.apply(update.records, update.isComplete);
    if (changes.empty())
        return;
    m_evacuations = std::make_shared<const EvacuationSet>(std::move(evacuations));
    for (const EvacuationSet::Change& change : changes) {
        DecisionEffect decision;
        decision.kind
            = change.isEvacuated ? DecisionEffect::Kind::EvacuationBegun : DecisionEffect::Kind::EvacuationEnded;
        decision.dataCentre = change.dataCentre.str();
        decision.version = change.revision;
        decision.age = now - m_manifest.confirmedAt();
        m_outbox.log(std::move(decision));
    }
}

void DirectoryPart::recordStoreState(const CollectionUpdate& update, absl::Time now)
{
    const bool isChanged = update.isFailed != m_isStoreLost && (update.isFailed || update.isConfirmed);
    if (!isChanged)
        return;
    m_isStoreLost = update.isFailed;
    DecisionEffect decision;
    decision.kind = m_isStoreLost ? DecisionEffect::Kind::StoreLost : DecisionEffect::Kind::StoreRegained;
    decision.age = now - m_manifest.confirmedAt();
    m_outbox.log(std::move(decision));
}

void DirectoryPart::notifyParts()
{
    const RoutesEvent routes { m_routes, m_evacuations, m_manifest.confirmedAt() };
    m_outbox.notify(ownerPart, routes);
    for (std::size_t callerPart = 0; callerPart < m_settings.callerPartCount; ++callerPart)
        m_outbox.notify(firstCallerPart + callerPart, routes);
}

void DirectoryPart::startDrain(absl::Time now)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_drainEndsAt = now + m_settings.drainTime;
    m_outbox.notify(ownerPart, DrainEvent());
}

// Open connections are served for the whole drain time, because their clients learn late that the node is leaving.
void DirectoryPart::endDrain(absl::Time now)
{
    if (!m_isDraining || m_isDrained || now < m_drainEndsAt)
        return;
    m_isDrained = true;
    m_outbox.add(DrainedEffect());
}

void DirectoryPart::updateReadiness(absl::Time now)
{
    const absl::Duration freshnessLimit = m_settings.maxManifestAge - readinessMargin;
    const bool isFresh = m_routes != nullptr && now - m_manifest.confirmedAt() < freshnessLimit;
    const bool isReady = isFresh && !m_isDraining;
    if (isReady == m_isReady)
        return;
    m_isReady = isReady;
    m_outbox.add(ReadyEffect { isReady });
}

absl::Time DirectoryPart::nextDue(absl::Time now) const
{
    absl::Time due = m_manifest.nextDue();
    if (m_isReady)
        due = std::min(due, m_manifest.confirmedAt() + m_settings.maxManifestAge - readinessMargin);
    if (m_isDraining && !m_isDrained)
        due = std::min(due, m_drainEndsAt);
    return std::max(due, now);
}

} // namespace mangohall::batch
