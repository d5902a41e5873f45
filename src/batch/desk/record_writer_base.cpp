#include "batch/desk/record_writer_base.h"

#include <algorithm>
#include <utility>

#include "core/error_func.h"

namespace mangohall::batch {

namespace {

// Each record takes an expectation and a write.
constexpr std::size_t recordsPerCommit = maxCommitEntries / 2;
// Commits that are out at a time. While all are, records gather for the next.
constexpr std::size_t maxCommits = 4;
constexpr absl::Duration commitTimeout = absl::Milliseconds(900);
constexpr absl::Duration retryPeriod = absl::Milliseconds(60);
// Tries at a store that refuses. Another node may be served.
constexpr int maxRefusals = 2;

CreateResult resultOf(const CreateRecord& record, CreateResult::Outcome outcome)
{
    return { record.caller, record.key, outcome };
}

} // namespace

void RecordWriter::add(CreateRecord record)
{
    m_waiting.push_back({ std::move(record) });
}

std::vector<CreateResult> RecordWriter::advance(Outbox& outbox, absl::Time now)
{
    std::vector<CreateResult> results = giveUpLate(now);
    while (m_commits.size() < maxCommits) {
        std::vector<Item> batch = takeBatch(now);
        if (batch.empty())
            break;
        commit(std::move(batch), outbox);
    }
    return results;
}

std::vector<CreateResult> RecordWriter::giveUpLate(absl::Time now)
{
    std::vector<CreateResult> results;
    std::vector<Item> kept;
    for (Item& item : m_waiting) {
        if (item.record.deadline > now) {
            kept.push_back(std::move(item));
            continue;
        }
        const auto outcome = item.isUncertain ? CreateResult::Outcome::Unknown : CreateResult::Outcome::NotWritten;
        results.push_back(resultOf(item.record, outcome));
    }
    m_waiting = std::move(kept);
    return results;
}

std::vector<RecordWriter::Item> RecordWriter::takeBatch(absl::Time now)
{
    std::vector<Item> batch;
    std::vector<Item> kept;
    for (Item& item : m_waiting) {
        const bool isDouble = std::any_of(
            batch.begin(), batch.end(), [&item](const Item& other) { return other.record.key == item.record.key; });
        if (batch.size() < recordsPerCommit && item.retryAt <= now && !isDouble)
            batch.push_back(std::move(item));
        else
            kept.push_back(std::move(item));
    }
    m_waiting = std::move(kept);
    return batch;
}

void RecordWriter::commit(std::vector<Item>&& batch, Outbox& outbox)
{
    CommitRecords request;
    for (const Item& item : batch) {
        request.expected.push_back({ item.record.key, 0 });
        request.writes.push_back({ item.record.key, item.record.value, 0 });
    }
    const CallId call = outbox.toStore(std::move(request), commitTimeout);
    m_commits.emplace(call, std::move(batch));
}

absl::Time RecordWriter::nextDue() const
{
    absl::Time due = absl::InfiniteFuture();
    for (const Item& item : m_waiting) {
        due = std::min(due, item.record.deadline);
        if (m_commits.size() < maxCommits)
            due = std::min(due, item.retryAt);
    }
    return due;
}

std::vector<CreateResult> RecordWriter::takeReply(CallId call, const StoreReply& reply, absl::Time now)
{
    const auto found = m_commits.find(call);
    std::vector<Item> batch = std::move(found->second);
    m_commits.erase(found);
    switch (errorKindOf(reply.status)) {
    case ErrorKind::None:
        break;
    case ErrorKind::RevisionConflict:
        return takeConflict(std::move(batch), reply);
    case ErrorKind::StoreRefused:
        return takeRefusal(std::move(batch), now);
    default:
        takeLostAnswer(std::move(batch), now);
        return {};
    }
    std::vector<CreateResult> results;
    results.reserve(batch.size());
    for (const Item& item : batch)
        results.push_back(resultOf(item.record, CreateResult::Outcome::Created));
    return results;
}

// The records that are there have been written before; the others are tried again without them.
std::vector<CreateResult> RecordWriter::takeConflict(std::vector<Item> batch, const StoreReply& reply)
{
    std::vector<CreateResult> results;
    for (Item& item : batch) {
        const bool exists = std::any_of(reply.records.begin(), reply.records.end(),
            [&item](const Record& record) { return record.key == item.record.key && record.revision != 0; });
        if (exists)
            results.push_back(resultOf(item.record, CreateResult::Outcome::Existed));
        else
            m_waiting.push_back(std::move(item));
    }
    return results;
}

std::vector<CreateResult> RecordWriter::takeRefusal(std::vector<Item> batch, absl::Time now)
{
    std::vector<CreateResult> results;
    for (Item& item : batch) {
        ++item.refusals;
        item.retryAt = now + retryPeriod;
        // What may still be written must not be told as refused.
        if (item.refusals >= maxRefusals && !item.isUncertain)
            results.push_back(resultOf(item.record, CreateResult::Outcome::NotWritten));
        else
            m_waiting.push_back(std::move(item));
    }
    return results;
}

void RecordWriter::takeLostAnswer(std::vector<Item> batch, absl::Time now)
{
    for (Item& item : batch) {
        item.isUncertain = true;
        item.retryAt = now + retryPeriod;
        m_waiting.push_back(std::move(item));
    }
}

} // namespace mangohall::batch
