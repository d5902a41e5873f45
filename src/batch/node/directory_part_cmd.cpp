#include "batch/node/directory_part_base.h"

#include <algorithm>
#include <utility>

namespace mangohall::batch {

namespace {

// Short enough that two watches in a row confirm the manifest well within its greatest age.
constexpr absl::Duration manifestWatchWait = absl::Milliseconds(1500);
// A node whose manifest comes near its greatest age asks for no new connections any more.
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
        if (m_manifest.isMine(store->call))
            takeStoreReply(store->reply, now);
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

void DirectoryPart::takeStoreReply(const StoreReply& reply, absl::Time now)
{
    const CollectionNews news = m_manifest.takeReply(reply, now);
    noteStore(news, now);
    for (const Record& record : news.records)
        takeManifest(record, now);
    if (news.isConfirmed && m_routes != nullptr)
        tellParts();
}

void DirectoryPart::takeManifest(const Record& record, absl::Time now)
{
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
    // A late answer never brings an older one back.
    if (m_routes != nullptr && manifest->version <= m_routes->manifest().version)
        return;
    m_routes = std::make_shared<const RouteTable>(*manifest);
    decision.kind = DecisionEffect::Kind::ManifestTaken;
    decision.version = manifest->version;
    decision.age = now - m_manifest.confirmedAt();
    m_outbox.log(std::move(decision));
}

void DirectoryPart::noteStore(const CollectionNews& news, absl::Time now)
{
    const bool isChanged = news.isFailed != m_isStoreLost && (news.isFailed || news.isConfirmed);
    if (!isChanged)
        return;
    m_isStoreLost = news.isFailed;
    DecisionEffect decision;
    decision.kind = m_isStoreLost ? DecisionEffect::Kind::StoreLost : DecisionEffect::Kind::StoreRegained;
    decision.age = now - m_manifest.confirmedAt();
    m_outbox.log(std::move(decision));
}

void DirectoryPart::tellParts()
{
    const RoutesEvent routes { m_routes, m_manifest.confirmedAt() };
    m_outbox.notify(ownerPart, routes);
    for (std::size_t desk = 0; desk < m_settings.deskCount; ++desk)
        m_outbox.notify(firstDeskPart + desk, routes);
}

void DirectoryPart::startDrain(absl::Time now)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_drainUntil = now + m_settings.drainTime;
    m_outbox.notify(ownerPart, DrainEvent());
}

// Open connections are served for the whole time: their clients learn late that the node leaves.
void DirectoryPart::endDrain(absl::Time now)
{
    if (!m_isDraining || m_isDrained || now < m_drainUntil)
        return;
    m_isDrained = true;
    m_outbox.add(DrainedEffect());
}

void DirectoryPart::updateReadiness(absl::Time now)
{
    const absl::Duration freshEnough = m_settings.maxManifestAge - readinessMargin;
    const bool isFresh = m_routes != nullptr && now - m_manifest.confirmedAt() < freshEnough;
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
        due = std::min(due, m_drainUntil);
    return std::max(due, now);
}

} // namespace mangohall::batch
