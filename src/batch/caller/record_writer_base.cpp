#include "batch/caller/record_writer_base.h"

#include <algorithm>
#include <utility>

#include "batch/admission/admission_func.h"
#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// Each record needs two entries of a commit, an expectation and a write; the limit on submissions needs an expectation.
constexpr std::size_t maxRecordsPerCommit = (maxCommitEntries - 1) / 2;
// The most that the jobs of one commit take, in bytes, unless a single one takes more.
constexpr std::int64_t maxFootprintPerCommit = std::int64_t { 1 } << 20U;
// How long the limit on submissions is taken as it was read.
constexpr absl::Duration admissionValidity = absl::Seconds(1);
// The largest number of open commits. While that many are open, records are collected for the next commit.
constexpr std::size_t maxOpenCommits = 4;
constexpr absl::Duration commitTimeout = absl::Milliseconds(900);
constexpr absl::Duration retryPeriod = absl::Milliseconds(60);
// A record is given up after this many refusals by the store. The caller may retry at another node, which the store may
// still serve.
constexpr int maxRefusals = 2;

RecordKey admissionKey()
{
    return { Collection::Admission, "" };
}

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
    std::int64_t footprint = 0;
    for (PendingRecord& pending : m_pending) {
        footprint += pending.record.footprint;
        // A commit expects one revision of the limit on submissions.
        const bool isOther = !batch.empty() && isAdmitted(pending.record) != isAdmitted(batch.front().record);
        // A commit has one record for a key, and a record that is written alone shares none.
        const bool isSeparate = std::any_of(batch.begin(), batch.end(), [&pending](const PendingRecord& other) {
            return other.record.key == pending.record.key || other.isWrittenAlone || pending.isWrittenAlone;
        });
        const bool fits = batch.size() < maxRecordsPerCommit && (batch.empty() || footprint <= maxFootprintPerCommit);
        if (fits && pending.retryAt <= now && !isSeparate && !isOther) {
            batch.push_back(std::move(pending));
        } else {
            footprint -= pending.record.footprint;
            kept.push_back(std::move(pending));
        }
    }
    m_pending = std::move(kept);
    return batch;
}

void RecordWriter::commit(std::vector<PendingRecord>&& batch, Outbox& outbox)
{
    CommitRecords request;
    const bool hasJobs = std::any_of(
        batch.begin(), batch.end(), [](const PendingRecord& pending) { return pending.record.footprint > 0; });
    // A job that the limit does not admit is created only if there is none any more. If there is, the reply tells
    // whether the job is known.
    if (hasJobs)
        request.expected.push_back({ admissionKey(), isAdmitted(batch.front().record) ? m_admissionRevision : 0 });
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
        return handleConflict(std::move(batch), reply, now);
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

bool RecordWriter::isAdmitted(const CreateRecord& record) const
{
    return record.footprint == 0 || mangohall::batch::isAdmitted(m_admission, record.footprint, record.isGuaranteed);
}

bool RecordWriter::isKnownToLackRoom(std::int64_t footprint, bool isGuaranteed, absl::Time now) const
{
    return now < m_admissionReadAt + admissionValidity
        && !mangohall::batch::isAdmitted(m_admission, footprint, isGuaranteed);
}

void RecordWriter::learnAdmission(absl::Span<const Record> records, absl::Time now)
{
    for (const Record& record : records) {
        if (record.key.collection != Collection::Admission)
            continue;
        m_admissionReadAt = now;
        m_admissionRevision = record.revision;
        const auto* limit = std::get_if<AdmissionLimit>(&record.value);
        m_admission = limit == nullptr ? absl::nullopt : absl::make_optional(*limit);
    }
}

// Records that exist already were written before. The others are tried again without them, unless they are jobs that
// the owner has no room for.
std::vector<CreateResult> RecordWriter::handleConflict(
    std::vector<PendingRecord> batch, const StoreReply& reply, absl::Time now)
{
    std::vector<CreateResult> results;
    learnAdmission(reply.records, now);
    for (PendingRecord& pending : batch) {
        const bool exists = std::any_of(reply.records.begin(), reply.records.end(),
            [&pending](const Record& record) { return record.key == pending.record.key && record.revision != 0; });
        const bool isAdmittedNow = isAdmitted(pending.record);
        if (exists) {
            results.push_back(resultOf(pending.record, CreateResult::Outcome::Existed));
        } else if (!isAdmittedNow && !pending.isUncertain) {
            results.push_back(resultOf(pending.record, CreateResult::Outcome::NoRoom));
        } else {
            // An earlier commit may have written the job, or may do so once the limit is gone.
            pending.retryAt = isAdmittedNow ? pending.retryAt : now + retryPeriod;
            m_pending.push_back(std::move(pending));
        }
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
