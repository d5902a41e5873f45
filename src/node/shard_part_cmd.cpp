#include <algorithm>

#include "core/hash_func.h"
#include "core/time_const.h"
#include "membership/membership_func.h"
#include "node/outbox_func.h"
#include "node/shard_part_base.h"

namespace mangohall {

ShardPart::ShardPart(
    const NodeSettings& settings, PartIndex index, std::size_t partCount, std::uint64_t seed, const Clock& clock)
    : m_self(settings.self)
    , m_clock(clock)
    , m_index(index)
    , m_partCount(partCount)
    , m_random(seed)
    , m_directory(std::make_shared<Directory>())
{
}

PartIndex partOfShard(const ShardName& shard, std::size_t partCount)
{
    return 1 + stableHash(shard.text()) % (partCount - 1);
}

Effects ShardPart::handle(const Event& event, absl::Time now)
{
    const absl::MutexLock lock(&m_mutex);
    handleEvent(event, now);
    for (auto& [name, slot] : m_slots)
        reconcileSlot(slot, now);
    reportDrained();
    appendEffects(m_outbox, *m_directory, m_self, m_effects);
    const absl::Time next = nextWake();
    if (next != m_requestedWake) {
        m_requestedWake = next;
        m_effects.push_back(WakeAtEffect { next });
    }
    return std::exchange(m_effects, {});
}

void ShardPart::handleEvent(const Event& event, absl::Time now)
{
    if (std::holds_alternative<WakeEvent>(event))
        wake(now);
    else if (const auto* directory = std::get_if<DirectoryEvent>(&event))
        setDirectory(directory->directory, now);
    else if (const auto* reply = std::get_if<StoreEvent>(&event))
        handleStoreReply(*reply, now);
    else if (const auto* peer = std::get_if<PeerEvent>(&event))
        handlePeerMessage(peer->message, now);
    else if (const auto* worker = std::get_if<WorkerEvent>(&event))
        handleWorkerReply(*worker, now);
    else if (const auto* vms = std::get_if<VmListEvent>(&event))
        handleVmList(*vms, now);
    else if (std::holds_alternative<DrainEvent>(event))
        m_isDraining = true;
}

void ShardPart::setDirectory(const DirectorySnapshot& directory, absl::Time now)
{
    m_directory = directory;
    for (const ShardName& shard : allShards(*m_directory)) {
        if (partOfShard(shard, m_partCount) != m_index || m_slots.contains(shard))
            continue;
        ShardSlot slot;
        slot.claim = std::make_unique<ShardClaim>(shard, m_self.node, m_random, m_outbox);
        m_slots.emplace(shard, std::move(slot));
    }
    for (auto& [name, slot] : m_slots) {
        if (slot.ledger)
            slot.ledger->setDirectory(m_directory, now);
        if (slot.dispatcher)
            slot.dispatcher->setDirectory(m_directory, now);
    }
}

void ShardPart::reconcileSlot(ShardSlot& slot, absl::Time now)
{
    const bool isDeposed
        = (slot.ledger && slot.ledger->isDeposed()) || (slot.dispatcher && slot.dispatcher->isDeposed());
    if (isDeposed)
        slot.claim->markDeposed(now);
    slot.claim->reconcile(*m_directory, m_isDraining, now);
    const bool isOpen = slot.ledger || slot.dispatcher;
    if (!slot.claim->isOwned()) {
        if (isOpen)
            closeSlot(slot);
        return;
    }
    if (!isOpen) {
        openSlot(slot, now);
        return;
    }
    if (slot.claim->state() != ShardClaim::ClaimState::HandingOver)
        return;
    if (slot.ledger) {
        slot.ledger->stopAccepting();
        if (!slot.ledger->isDurable())
            return;
    }
    closeSlot(slot);
    slot.claim->release();
}

void ShardPart::openSlot(ShardSlot& slot, absl::Time now)
{
    const ShardName& shard = slot.claim->shard();
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::ShardClaimed;
    observation.shard = shard;
    observation.epoch = slot.claim->epoch();
    m_outbox.observe(std::move(observation));
    if (isLedgerShard(shard)) {
        slot.ledger = std::make_unique<JobLedger>(shard, slot.claim->epoch(), m_random, m_outbox);
        slot.ledger->setDirectory(m_directory, now);
        for (const auto& [name, capacity] : m_capacities)
            slot.ledger->setCapacity(capacity);
        slot.ledger->load(now);
        return;
    }
    slot.dispatcher = std::make_unique<Dispatcher>(
        shard, slot.claim->epoch(), makeCellPool(shard), makeFairQueue(), m_random, m_outbox, m_clock);
    slot.dispatcher->setDirectory(m_directory, now);
    m_vmListAt = now;
    readVmLists(now);
}

void ShardPart::closeSlot(ShardSlot& slot)
{
    ObservationEffect observation;
    observation.kind = ObservationEffect::Kind::ShardLost;
    observation.shard = slot.claim->shard();
    observation.epoch = slot.claim->epoch();
    m_outbox.observe(std::move(observation));
    slot.ledger.reset();
    slot.dispatcher.reset();
}

void ShardPart::handleStoreReply(const StoreEvent& event, absl::Time now)
{
    for (auto& [name, slot] : m_slots) {
        if (slot.claim->ownsCall(event.call)) {
            slot.claim->handleStoreReply(event.reply, now);
            return;
        }
        if (slot.ledger && slot.ledger->ownsCall(event.call)) {
            slot.ledger->handleStoreReply(event.call, event.reply, now);
            return;
        }
    }
}

void ShardPart::handleWorkerReply(const WorkerEvent& event, absl::Time now)
{
    for (auto& [name, slot] : m_slots) {
        if (slot.dispatcher && slot.dispatcher->ownsCall(event.call)) {
            slot.dispatcher->handleWorkerReply(event.call, event.status, event.report, now);
            return;
        }
    }
}

void ShardPart::handlePeerMessage(const PeerMessage& message, absl::Time now)
{
    if (const auto* capacity = std::get_if<CapacitySummary>(&message.payload)) {
        m_capacities.insert_or_assign(capacity->shard, *capacity);
        for (auto& [name, slot] : m_slots) {
            if (slot.ledger)
                slot.ledger->setCapacity(*capacity);
        }
        return;
    }
    const auto found = m_slots.find(message.shard);
    if (found == m_slots.end())
        return;
    if (found->second.ledger)
        forwardToLedger(*found->second.ledger, message, now);
    else if (found->second.dispatcher)
        forwardToDispatcher(*found->second.dispatcher, message, now);
}

void ShardPart::forwardToLedger(JobLedger& ledger, const PeerMessage& message, absl::Time now)
{
    const PeerPayload& payload = message.payload;
    if (const auto* submit = std::get_if<SubmitJob>(&payload))
        ledger.submit(message.from, *submit, now);
    else if (const auto* cancel = std::get_if<CancelJob>(&payload))
        ledger.cancel(message.from, *cancel, now);
    else if (const auto* query = std::get_if<QueryJob>(&payload))
        ledger.query(message.from, *query, now);
    else if (const auto* held = std::get_if<CapacityHeld>(&payload))
        ledger.handleCapacityHeld(*held, now);
    else if (const auto* refused = std::get_if<CapacityRefused>(&payload))
        ledger.handleCapacityRefused(*refused, now);
    else if (const auto* prepared = std::get_if<AttemptPrepared>(&payload))
        ledger.handleAttemptPrepared(*prepared, now);
    else if (const auto* ended = std::get_if<PartEnded>(&payload))
        ledger.handlePartEnded(*ended, now);
}

void ShardPart::forwardToDispatcher(Dispatcher& dispatcher, const PeerMessage& message, absl::Time now)
{
    const PeerPayload& payload = message.payload;
    if (const auto* reserve = std::get_if<ReserveCapacity>(&payload))
        dispatcher.reserve(*reserve, now);
    else if (const auto* start = std::get_if<StartAttempt>(&payload))
        dispatcher.startAttempt(*start, now);
    else if (const auto* release = std::get_if<ReleaseAttempt>(&payload))
        dispatcher.releaseAttempt(*release, now);
    else if (const auto* abort = std::get_if<AbortAttempt>(&payload))
        dispatcher.abortAttempt(*abort, now);
    else if (const auto* acknowledged = std::get_if<EndAcknowledged>(&payload))
        dispatcher.acknowledgeEnd(*acknowledged, now);
}

DataCentreName ShardPart::dataCentreOf(const ShardName& shard) const
{
    const auto spec = std::find_if(m_directory->shards.begin(), m_directory->shards.end(),
        [&shard](const ShardSpec& candidate) { return candidate.name == shard; });
    return spec == m_directory->shards.end() ? DataCentreName() : spec->dataCentre;
}

void ShardPart::readVmLists(absl::Time now)
{
    if (m_vmListAt > now)
        return;
    m_vmListAt = absl::InfiniteFuture();
    for (const auto& [name, slot] : m_slots) {
        if (!slot.dispatcher)
            continue;
        m_effects.push_back(ReadVmListEffect { dataCentreOf(name) });
        m_vmListAt = now + vmListPeriod;
    }
}

void ShardPart::handleVmList(const VmListEvent& event, absl::Time now)
{
    if (!event.status.ok())
        return;
    for (auto& [name, slot] : m_slots) {
        const bool isAffected = event.dataCentre.empty() || event.dataCentre == dataCentreOf(name);
        if (slot.dispatcher && isAffected)
            slot.dispatcher->setVms(event.entries, now);
    }
}

void ShardPart::wake(absl::Time now)
{
    m_requestedWake = absl::InfinitePast();
    readVmLists(now);
    for (auto& [name, slot] : m_slots) {
        if (slot.ledger && slot.ledger->nextWake() <= now)
            slot.ledger->wake(now);
        if (slot.dispatcher && slot.dispatcher->nextWake() <= now)
            slot.dispatcher->wake(now);
    }
}

void ShardPart::reportDrained()
{
    if (!m_isDraining || m_isDrainReported)
        return;
    const bool isEmpty = std::all_of(m_slots.begin(), m_slots.end(),
        [](const auto& entry) { return entry.second.claim->state() == ShardClaim::ClaimState::NotOwned; });
    if (!isEmpty)
        return;
    m_isDrainReported = true;
    m_effects.push_back(NotifyEffect { 0, PartDrainedEvent { m_index } });
}

absl::Time ShardPart::nextWake() const
{
    absl::Time next = m_vmListAt;
    for (const auto& [name, slot] : m_slots) {
        next = std::min(next, slot.claim->nextWake());
        if (slot.ledger)
            next = std::min(next, slot.ledger->nextWake());
        if (slot.dispatcher)
            next = std::min(next, slot.dispatcher->nextWake());
    }
    return next;
}

} // namespace mangohall
