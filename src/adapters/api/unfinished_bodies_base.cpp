#include "adapters/api/unfinished_bodies_base.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace mangohall {

namespace {

constexpr std::size_t minCapacityBytes = 256;

// Capacity of a buffer that has to hold `needed` bytes. It doubles, so that small pieces are not copied each time.
std::size_t capacityFor(std::size_t capacity, std::size_t needed, std::size_t maxBytes)
{
    if (needed <= capacity)
        return capacity;
    return std::max(needed, std::min(std::max(capacity * 2, minCapacityBytes), maxBytes));
}

} // namespace

UnfinishedBodies::UnfinishedBodies(const BodyLimits& limits, const Clock& clock, LimitListener& listener)
    : m_limits(limits)
    , m_clock(clock)
    , m_listener(listener)
    , m_budget(limits.budgetBytes)
{
}

BodyId UnfinishedBodies::begin(BodyConnection& connection, bool isRefused)
{
    const BodyId id = ++m_lastId;
    Shard& shard = shardOf(id);
    auto body = std::make_unique<Body>(connection, m_budget, m_clock.now());
    body->isRefused = isRefused;
    absl::MutexLock lock(&shard.mutex);
    shard.bodies.emplace(id, std::move(body));
    return id;
}

BodyVerdict UnfinishedBodies::append(BodyId id, absl::string_view piece)
{
    bool isLastTry = false;
    while (true) {
        switch (tryAppend(id, piece)) {
        case Step::Held:
            return BodyVerdict::Held;
        case Step::Refused:
            return BodyVerdict::Refused;
        case Step::Dropped:
            return BodyVerdict::Dropped;
        case Step::NoRoom:
            break;
        }
        if (isLastTry) {
            refuse(id, piece.size());
            return BodyVerdict::Refused;
        }
        // Each turn evicts a body, or another thread has added to or removed the body that was to be evicted. Without
        // any body to evict, another thread may have ended one since the last try.
        isLastTry = !evictFor(id);
    }
}

UnfinishedBodies::Step UnfinishedBodies::tryAppend(BodyId id, absl::string_view piece)
{
    Shard& shard = shardOf(id);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.bodies.find(id);
    if (found == shard.bodies.end())
        return Step::Dropped;
    Body& body = *found->second;
    if (m_clock.now() - body.begunAt > m_limits.maxAge) {
        m_listener.onLimit(ClientLimit::BodyAbandoned);
        erase(shard, id);
        return Step::Dropped;
    }
    if (piece.size() > m_limits.maxBodyBytes - body.receivedBytes) {
        m_listener.onLimit(ClientLimit::BodyTooLarge);
        erase(shard, id);
        return Step::Dropped;
    }
    if (!body.isRefused && !tryStore(shard, id, body, piece))
        return Step::NoRoom;
    body.receivedBytes += piece.size();
    return body.isRefused ? Step::Refused : Step::Held;
}

bool UnfinishedBodies::tryStore(Shard& shard, BodyId id, Body& body, absl::string_view piece)
{
    const std::size_t heldBytes = body.reservation.bytes();
    const std::size_t capacity = capacityFor(heldBytes, body.text.size() + piece.size(), m_limits.maxBodyBytes);
    if (!body.reservation.tryGrow(capacity - heldBytes))
        return false;
    if (capacity > heldBytes) {
        // A string that grows in place takes at least twice its capacity, more than was reserved; a new one does not.
        std::string text;
        text.reserve(capacity);
        text.append(body.text);
        body.text.swap(text);
    }
    body.text.append(piece.data(), piece.size());
    if (heldBytes > 0)
        shard.holders.erase(body.holder);
    if (capacity > 0)
        body.holder = shard.holders.insert(shard.holders.end(), id);
    body.lastPiece = ++m_lastPiece;
    return true;
}

void UnfinishedBodies::refuse(BodyId id, std::size_t pieceBytes)
{
    Shard& shard = shardOf(id);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.bodies.find(id);
    if (found == shard.bodies.end())
        return;
    m_listener.onLimit(ClientLimit::BodyRefused);
    releaseBytes(shard, *found->second);
    found->second->isRefused = true;
    found->second->receivedBytes += pieceBytes;
}

bool UnfinishedBodies::evictFor(BodyId id)
{
    Shard* oldestShard = nullptr;
    std::uint64_t oldestPiece = std::numeric_limits<std::uint64_t>::max();
    BodyId victim = 0;
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        const Body* body = firstHolder(shard, id, victim);
        if (body != nullptr && body->lastPiece < oldestPiece) {
            oldestPiece = body->lastPiece;
            oldestShard = &shard;
        }
    }
    if (oldestShard == nullptr)
        return false;
    absl::MutexLock lock(&oldestShard->mutex);
    // Another thread may have added to the body or removed it since it was found; then it is not evicted.
    Body* body = firstHolder(*oldestShard, id, victim);
    if (body == nullptr || body->lastPiece != oldestPiece)
        return true;
    m_listener.onLimit(ClientLimit::BodyEvicted);
    dropAndClose(*oldestShard, victim);
    return true;
}

UnfinishedBodies::Body* UnfinishedBodies::firstHolder(Shard& shard, BodyId except, BodyId& found)
{
    const auto place
        = std::find_if(shard.holders.begin(), shard.holders.end(), [except](BodyId id) { return id != except; });
    if (place == shard.holders.end())
        return nullptr;
    found = *place;
    return shard.bodies.find(found)->second.get();
}

void UnfinishedBodies::releaseBytes(Shard& shard, Body& body)
{
    if (body.reservation.bytes() > 0)
        shard.holders.erase(body.holder);
    std::string().swap(body.text);
    body.reservation.release();
}

void UnfinishedBodies::dropAndClose(Shard& shard, BodyId id)
{
    Body& body = *shard.bodies.find(id)->second;
    // The bytes are given back before the client can see the end of its connection.
    releaseBytes(shard, body);
    body.connection.closeBodyConnection();
    erase(shard, id);
}

void UnfinishedBodies::erase(Shard& shard, BodyId id)
{
    const auto found = shard.bodies.find(id);
    if (found == shard.bodies.end())
        return;
    releaseBytes(shard, *found->second);
    shard.bodies.erase(found);
}

absl::optional<std::string> UnfinishedBodies::finish(BodyId id)
{
    Shard& shard = shardOf(id);
    absl::MutexLock lock(&shard.mutex);
    const auto found = shard.bodies.find(id);
    if (found == shard.bodies.end())
        return absl::nullopt;
    std::string text;
    text.swap(found->second->text);
    erase(shard, id);
    return text;
}

void UnfinishedBodies::end(BodyId id)
{
    Shard& shard = shardOf(id);
    absl::MutexLock lock(&shard.mutex);
    erase(shard, id);
}

void UnfinishedBodies::abandonLate()
{
    const absl::Time now = m_clock.now();
    for (Shard& shard : m_shards) {
        absl::MutexLock lock(&shard.mutex);
        std::vector<BodyId> late;
        for (const auto& [id, body] : shard.bodies) {
            if (now - body->begunAt > m_limits.maxAge)
                late.push_back(id);
        }
        for (const BodyId id : late) {
            m_listener.onLimit(ClientLimit::BodyAbandoned);
            dropAndClose(shard, id);
        }
    }
}

} // namespace mangohall
