#include "batch/caller/record_writer_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// Each record needs two entries of a commit: an expectation and a write.
constexpr std::size_t maxRecordsPerCommit = maxCommitEntries / 2;
// The largest number of open commits. While that many are open, records are collected for the next commit.
constexpr std::size_t maxOpenCommits = 4;
constexpr absl::Duration commitTimeout = absl::Milliseconds(900);
constexpr absl::Duration retryPeriod = absl::Milliseconds(60);
// A record is given up after this many refusals by the store. The caller may retry at another node, which the store may
// still serve.
constexpr int maxRefusals = 2;

CreateResult resultOf(const CreateRecord& record, CreateResult::Outcome outcome)
{
    return { record.caller, record.key, outcome };
}

} // namespace

void RecordWriter::add(CreateRecord record)
{
    m_pending.push_back({ std::move(record) });
}

std::vector<CreateResult> RecordWriter::advance(Outbox& outbox, absl::Time now)
{
    std::vector<CreateResult> results = removeExpired(now);
    while (m_openCommits.size() < maxOpenCommits) {
        std::vector<PendingRecord> batch = takeBatch(now);
        if (batch.empty())
            break;
        commit(std::move(batch), outbox);
    }
    return results;
}

std::vector<CreateResult> RecordWriter::removeExpired(absl::Time now)
{
    std::vector<CreateResult> results;
    std::vector<PendingRecord> kept;
    for (PendingRecord& pending : m_pending) {
        if (pending.record.deadline > now) {
            kept.push_back(std::move(pending));
            continue;
        }
        const auto outcome = pending.isUncertain ? CreateResult::Outcome::Unknown : CreateResult::Outcome::NotWritten;
        results.push_back(resultOf(pending.record, outcome));
    }
    m_pending = std::move(kept);
    return results;
}

std::vector<RecordWriter::PendingRecord> RecordWriter::takeBatch(absl::Time now)
{
    std::vector<PendingRecord> batch;
    std::vector<PendingRecord> kept;
    for (PendingRecord& pending : m_pending) {
        // A commit has one record for a key, and a record that is written alone shares none.
        const bool isSeparate = std::any_of(batch.begin(), batch.end(), [&pending](const PendingRecord& other) {
            return other.record.key == pending.record.key || other.isWrittenAlone || pending.isWrittenAlone;
        });
        if (batch.size() < maxRecordsPerCommit && pending.retryAt <= now && !isSeparate)
            batch.push_back(std::move(pending));
        else
            kept.push_back(std::move(pending));
    }
    m_pending = std::move(kept);
    return batch;
}

void RecordWriter::commit(std::vector<PendingRecord>&& batch, Outbox& outbox)
{
    CommitRecords request;
    for (const PendingRecord& pending : batch) {
        request.expected.push_back({ pending.record.key, 0 });
        request.writes.push_back({ pending.record.key, pending.record.value, 0 });
    }
    const CallId call = outbox.toStore(std::move(request), commitTimeout);
    m_openCommits.emplace(call, std::move(batch));
}

absl::Time RecordWriter::nextDue() const
{
    absl::Time due = absl::InfiniteFuture();
    for (const PendingRecord& pending : m_pending) {
        due = std::min(due, pending.record.deadline);
        if (m_openCommits.size() < maxOpenCommits)
            due = std::min(due, pending.retryAt);
    }
    return due;
}

std::vector<CreateResult> RecordWriter::handleReply(CallId call, const StoreReply& reply, absl::Time now)
{
    const auto found = m_openCommits.find(call);
    std::vector<PendingRecord> batch = std::move(found->second);
    m_openCommits.erase(found);
    switch (errorKindOf(reply.status)) {
    case ErrorKind::None:
        break;
    case ErrorKind::RevisionConflict:
        return handleConflict(std::move(batch), reply);
    case ErrorKind::StoreRefused:
        return handleRefusal(std::move(batch), now);
    case ErrorKind::InvalidValue:
        // One of the records is at fault; the others are written without it.
        for (PendingRecord& pending : batch)
            pending.isWrittenAlone = true;
        return handleRefusal(std::move(batch), now);
    default:
        handleLostReply(std::move(batch), now);
        return {};
    }
    std::vector<CreateResult> results;
    results.reserve(batch.size());
    for (const PendingRecord& pending : batch)
        results.push_back(resultOf(pending.record, CreateResult::Outcome::Created));
    return results;
}

// Records that exist already were written before. The others are tried again without them.
std::vector<CreateResult> RecordWriter::handleConflict(std::vector<PendingRecord> batch, const StoreReply& reply)
{
    std::vector<CreateResult> results;
    for (PendingRecord& pending : batch) {
        const bool exists = std::any_of(reply.records.begin(), reply.records.end(),
            [&pending](const Record& record) { return record.key == pending.record.key && record.revision != 0; });
        if (exists)
            results.push_back(resultOf(pending.record, CreateResult::Outcome::Existed));
        else
            m_pending.push_back(std::move(pending));
    }
    return results;
}

std::vector<CreateResult> RecordWriter::handleRefusal(std::vector<PendingRecord> batch, absl::Time now)
{
    std::vector<CreateResult> results;
    for (PendingRecord& pending : batch) {
        ++pending.refusals;
        pending.retryAt = now + retryPeriod;
        // A record that an earlier commit may have written must not be reported as not written.
        if (pending.refusals >= maxRefusals && !pending.isUncertain)
            results.push_back(resultOf(pending.record, CreateResult::Outcome::NotWritten));
        else
            m_pending.push_back(std::move(pending));
    }
    return results;
}

void RecordWriter::handleLostReply(std::vector<PendingRecord> batch, absl::Time now)
{
    for (PendingRecord& pending : batch) {
        pending.isUncertain = true;
        pending.retryAt = now + retryPeriod;
        m_pending.push_back(std::move(pending));
    }
}

} // namespace mangohall::batch
