// Reads, fences and writes the buckets of a ledger.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "core/backoff_func.h"
#include "core/error_func.h"
#include "core/hash_func.h"
#include "core/time_const.h"
#include "job/job_func.h"
#include "job/job_ledger_base.h"

namespace mangohall {

namespace {

constexpr std::size_t bucketsPerLedger = 8;
// Bounds of the delay before a failed store call is repeated.
constexpr absl::Duration firstStoreRetry = absl::Milliseconds(100);
constexpr absl::Duration maxStoreRetry = absl::Seconds(5);

} // namespace

JobLedger::JobLedger(ShardName name, Epoch epoch, RandomSource& random, Outbox& outbox)
    : m_name(std::move(name))
    , m_epoch(epoch)
    , m_random(random)
    , m_outbox(outbox)
    , m_directory(std::make_shared<Directory>())
    , m_buckets(bucketsPerLedger)
{
}

std::size_t JobLedger::bucketIndex(const JobKey& key) const
{
    return stableHash(toText(key)) % m_buckets.size();
}

std::string JobLedger::bucketKey(std::size_t index) const
{
    return absl::StrFormat("ledger/%s/%02d", m_name.str(), index);
}

void JobLedger::markChanged(LedgerJob& job)
{
    BucketState& bucket = m_buckets[bucketIndex(job.record.key)];
    bucket.jobs.insert(job.record.key);
    bucket.changedVersion = ++m_changeCount;
    job.changedVersion = m_changeCount;
}

bool JobLedger::isDurable(const LedgerJob& job) const
{
    return m_buckets[bucketIndex(job.record.key)].durableVersion >= job.changedVersion;
}

bool JobLedger::isDurable() const
{
    return std::all_of(m_buckets.begin(), m_buckets.end(),
        [](const BucketState& bucket) { return !bucket.isWriting && bucket.durableVersion >= bucket.changedVersion; });
}

bool JobLedger::ownsCall(CallId call) const
{
    return call == m_listCall || m_bucketCalls.contains(call);
}

void JobLedger::load(absl::Time now)
{
    m_listRetryAt = now + storeCallTimeout + maxStoreRetry;
    m_listCall = m_outbox.toStore(StoreList { absl::StrCat("ledger/", m_name.text(), "/") });
}

void JobLedger::handleStoreReply(CallId call, const StoreReply& reply, absl::Time now)
{
    if (m_isDeposed)
        return;
    if (call == m_listCall) {
        handleBucketList(reply, now);
        return;
    }
    const auto found = m_bucketCalls.find(call);
    if (found == m_bucketCalls.end())
        return;
    BucketState& bucket = m_buckets[found->second];
    m_bucketCalls.erase(found);
    bucket.isWriting = false;
    handleWriteReply(bucket, reply, now);
    writeChangedBuckets(now);
}

void JobLedger::handleBucketList(const StoreReply& reply, absl::Time now)
{
    m_listCall = 0;
    if (!reply.status.ok()) {
        m_listRetryAt = now + fullJitter(firstStoreRetry, maxStoreRetry, m_listFailures++, m_random);
        return;
    }
    m_listRetryAt = absl::InfiniteFuture();
    m_jobs.clear();
    m_timers.clear();
    m_bucketCalls.clear();
    m_buckets.assign(bucketsPerLedger, BucketState());
    for (const StoreEntry& entry : reply.entries)
        loadBucket(entry);
    if (!m_isDeposed)
        fenceBuckets(now);
}

void JobLedger::loadBucket(const StoreEntry& entry)
{
    const auto* value = std::get_if<LedgerBucket>(&entry.value);
    if (value == nullptr || value->bucket < 0 || static_cast<std::size_t>(value->bucket) >= m_buckets.size())
        return;
    if (value->epoch > m_epoch) {
        m_isDeposed = true;
        return;
    }
    BucketState& bucket = m_buckets[value->bucket];
    bucket.modRevision = entry.modRevision;
    for (const JobRecord& record : value->jobs) {
        LedgerJob job;
        job.record = record;
        bucket.jobs.insert(record.key);
        m_jobs.insert_or_assign(record.key, std::move(job));
    }
}

void JobLedger::fenceBuckets(absl::Time now)
{
    // Every bucket is written once under the new epoch; from then on the store refuses writes of earlier owners.
    for (BucketState& bucket : m_buckets) {
        bucket.changedVersion = ++m_changeCount;
        writeBucket(bucket, now);
    }
}

void JobLedger::writeChangedBuckets(absl::Time now)
{
    const bool isReading = m_listCall != 0;
    if (m_isDeposed || isReading)
        return;
    for (BucketState& bucket : m_buckets) {
        const bool isChanged = bucket.changedVersion > bucket.durableVersion;
        const bool mayWrite = !bucket.isWriting && (bucket.retryAt == absl::InfiniteFuture() || bucket.retryAt <= now);
        if (isChanged && mayWrite)
            writeBucket(bucket, now);
    }
}

void JobLedger::writeBucket(BucketState& bucket, absl::Time now)
{
    dropExpired(bucket, now);
    const std::size_t index = static_cast<std::size_t>(&bucket - m_buckets.data());
    LedgerBucket value;
    value.shard = m_name;
    value.bucket = static_cast<std::int32_t>(index);
    value.epoch = m_epoch;
    bucket.bytes = 0;
    for (const JobKey& key : bucket.jobs) {
        value.jobs.push_back(m_jobs.at(key).record);
        bucket.bytes += recordBytes(value.jobs.back());
    }
    std::sort(value.jobs.begin(), value.jobs.end(),
        [](const JobRecord& left, const JobRecord& right) { return left.key < right.key; });
    bucket.isWriting = true;
    bucket.retryAt = absl::InfiniteFuture();
    bucket.sentVersion = bucket.changedVersion;
    const CallId call
        = m_outbox.toStore(StoreCompareAndSwap { bucketKey(index), bucket.modRevision, std::move(value), 0 });
    m_bucketCalls.emplace(call, index);
}

void JobLedger::handleWriteReply(BucketState& bucket, const StoreReply& reply, absl::Time now)
{
    if (reply.status.ok()) {
        bucket.modRevision = reply.revision;
        bucket.failures = 0;
        markBucketDurable(bucket, now);
        return;
    }
    if (errorKindOf(reply.status) == ErrorKind::RevisionConflict) {
        handleWriteConflict(bucket, reply, now);
        return;
    }
    // The write may have taken effect. If so, the next write is refused and the conflict shows it.
    bucket.retryAt = now + fullJitter(firstStoreRetry, maxStoreRetry, bucket.failures++, m_random);
}

void JobLedger::handleWriteConflict(BucketState& bucket, const StoreReply& reply, absl::Time now)
{
    const auto* present = reply.entries.empty() ? nullptr : std::get_if<LedgerBucket>(&reply.entries.front().value);
    const bool isOwn = present != nullptr && present->epoch == m_epoch;
    if (isOwn) {
        // An earlier write of this owner took effect but its reply was lost.
        bucket.modRevision = reply.entries.front().modRevision;
        writeBucket(bucket, now);
        return;
    }
    if (!m_isServing && (present == nullptr || present->epoch < m_epoch)) {
        // The earlier owner wrote between the read and the fence: read the buckets again.
        m_bucketCalls.clear();
        load(now);
        return;
    }
    m_isDeposed = true;
}

void JobLedger::markBucketDurable(BucketState& bucket, absl::Time now)
{
    const std::uint64_t previous = bucket.durableVersion;
    bucket.durableVersion = bucket.sentVersion;
    bucket.isFenced = true;
    if (!m_isServing) {
        startServing(now);
        return;
    }
    sendConfirmedRefusals(bucket);
    std::vector<JobKey> durable;
    for (const JobKey& key : bucket.jobs) {
        const std::uint64_t version = m_jobs.at(key).changedVersion;
        if (version > previous && version <= bucket.durableVersion)
            durable.push_back(key);
    }
    std::sort(durable.begin(), durable.end());
    for (const JobKey& key : durable)
        handleDurableRecord(m_jobs.at(key), now);
}

void JobLedger::startServing(absl::Time now)
{
    const bool isFullyFenced
        = std::all_of(m_buckets.begin(), m_buckets.end(), [](const BucketState& bucket) { return bucket.isFenced; });
    if (!isFullyFenced)
        return;
    m_isServing = true;
    std::vector<JobKey> keys;
    for (const auto& [key, job] : m_jobs)
        keys.push_back(key);
    std::sort(keys.begin(), keys.end());
    for (const JobKey& key : keys) {
        LedgerJob& job = m_jobs.at(key);
        if (job.record.phase == JobPhase::Queued)
            ++m_queuedByOrganisation[key.organisation];
        restoreParts(job);
        job.isStopping = job.record.isCancelRequested;
        drive(job, now);
    }
}

void JobLedger::dropExpired(BucketState& bucket, absl::Time now)
{
    std::vector<JobKey> expired;
    for (const JobKey& key : bucket.jobs) {
        const LedgerJob& job = m_jobs.at(key);
        const bool isComplete = job.record.phase == JobPhase::Ended && job.acknowledgements.empty();
        if (isComplete && job.record.endedAt + endedJobRetention < now)
            expired.push_back(key);
    }
    for (const JobKey& key : expired) {
        m_timers.erase({ m_jobs.at(key).wakeAt, key });
        m_jobs.erase(key);
        bucket.jobs.erase(key);
    }
}

void JobLedger::wake(absl::Time now)
{
    if (m_isDeposed)
        return;
    if (m_listRetryAt <= now)
        load(now);
    writeChangedBuckets(now);
    if (!m_isServing)
        return;
    while (!m_timers.empty() && m_timers.begin()->at <= now) {
        const JobKey key = m_timers.begin()->key;
        m_timers.erase(m_timers.begin());
        LedgerJob& job = m_jobs.at(key);
        job.wakeAt = absl::InfiniteFuture();
        drive(job, now);
    }
    writeChangedBuckets(now);
}

absl::Time JobLedger::nextWake() const
{
    absl::Time next = m_listRetryAt;
    for (const BucketState& bucket : m_buckets)
        next = std::min(next, bucket.retryAt);
    if (m_isServing && !m_timers.empty())
        next = std::min(next, m_timers.begin()->at);
    return next;
}

ShardName ledgerShardName(int index)
{
    return ShardName(absl::StrFormat("ledger-%02d", index));
}

ShardName homeShardOf(const JobKey& key)
{
    return ledgerShardName(static_cast<int>((stableHash(toText(key)) >> 32U) % ledgerShardCount));
}

bool isLedgerShard(const ShardName& shard)
{
    return shard.text().substr(0, 7) == "ledger-";
}

} // namespace mangohall
