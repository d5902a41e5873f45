#include "batch/owner/job_registry_base.h"

#include <algorithm>
#include <utility>

#include "batch/admission/admission_func.h"

namespace mangohall::batch {

void JobRegistry::clear()
{
    m_entries.clear();
    m_unmatchedProgress.clear();
    m_cancelled.clear();
    m_removed.clear();
    m_removalOrder.clear();
    m_dirty.clear();
    m_dirtyLater.clear();
    m_due.clear();
    m_postponed.clear();
    m_deferred.clear();
    m_footprints = 0;
    m_placedTaskBytes = 0;
}

bool JobRegistry::add(const Job& job, Revision revision)
{
    if (wasRemovedSince(job.id, revision))
        return false;
    const auto [found, isNew] = m_entries.try_emplace(job.id, job, m_limits);
    if (!isNew)
        return false;
    found->second.footprint = jobFootprint(job.spec);
    m_footprints += found->second.footprint;
    const auto earlier = m_unmatchedProgress.find(job.id.text());
    if (earlier != m_unmatchedProgress.end()) {
        found->second.progress.restore(std::move(earlier->second.record));
        found->second.revision = earlier->second.revision;
        m_unmatchedProgress.erase(earlier);
        m_placedTaskBytes += found->second.progress.entryCount() * taskFootprintBytes;
        if (found->second.progress.isSettled())
            releaseDetails(found->second);
    }
    updateDueTime(found->second);
    return true;
}

bool JobRegistry::wasRemovedSince(const JobId& job, Revision revision) const
{
    const auto removed = m_removed.find(job.text());
    return removed != m_removed.end() && revision <= removed->second;
}

bool JobRegistry::hasRoomFor(const Job& job) const
{
    return m_unmatchedProgress.contains(job.id.text()) || hasRoomFor(jobFootprint(job.spec));
}

bool JobRegistry::hasRoomFor(std::int64_t footprint) const
{
    // Large jobs leave a quarter of the budget to others. A small job that has just been admitted is still held beyond
    // the budget, by an eighth at most.
    const bool isSmall = footprint <= smallJobBytes;
    const std::int64_t limit = isSmall ? m_budgetBytes + m_budgetBytes / 8 : m_budgetBytes - m_budgetBytes / 4;
    return heldBytes() + footprint <= limit;
}

void JobRegistry::defer(const Job& job, Revision revision)
{
    if (m_entries.contains(job.id) || wasRemovedSince(job.id, revision))
        return;
    const bool hasTimes = job.spec.repeatCount > 0 || job.spec.firstDue != absl::InfinitePast();
    m_deferred.insert_or_assign(job.id, DeferredJob { job.queue, job.acceptedAt, jobFootprint(job.spec), hasTimes });
}

absl::optional<JobId> JobRegistry::nextDeferred() const
{
    const auto first = std::min_element(m_deferred.begin(), m_deferred.end(),
        [](const auto& left, const auto& right) { return left.second.acceptedAt < right.second.acceptedAt; });
    if (first == m_deferred.end())
        return absl::nullopt;
    // A job that exceeds the whole budget is held once half of it is left.
    const std::int64_t needed = std::min(first->second.footprint, m_budgetBytes / 2);
    return hasRoomFor(needed) ? absl::make_optional(first->first) : absl::nullopt;
}

JobEntry& JobRegistry::addDeferredForCancellation(const JobId& job)
{
    const auto deferred = m_deferred.find(job);
    Job withoutSpec;
    withoutSpec.id = job;
    withoutSpec.queue = deferred->second.queue;
    withoutSpec.acceptedAt = deferred->second.acceptedAt;
    m_deferred.erase(deferred);
    add(withoutSpec);
    return *find(job);
}

std::int64_t JobRegistry::roomForTasks() const
{
    const std::int64_t left = m_budgetBytes + m_budgetBytes / 8 - heldBytes();
    return std::max<std::int64_t>(0, left / taskFootprintBytes);
}

void JobRegistry::reviewMemory(absl::Time settledBefore)
{
    m_placedTaskBytes = 0;
    for (auto& [id, entry] : m_entries) {
        const bool isOver = entry.progress.record().endedAt < settledBefore && !entry.isDirty && !entry.isWriting;
        if (isOver && !entry.progress.job().spec.steps.empty() && entry.progress.isSettled())
            releaseDetails(entry);
        m_placedTaskBytes += entry.progress.entryCount() * taskFootprintBytes;
    }
}

void JobRegistry::releaseDetails(JobEntry& entry)
{
    entry.progress.releaseDetails();
    entry.readySince = {};
    m_footprints -= entry.footprint;
    entry.footprint = jobFootprint(entry.progress.job().spec);
    m_footprints += entry.footprint;
}

void JobRegistry::addProgress(const JobId& job, ProgressRecord record, Revision revision)
{
    JobEntry* entry = find(job);
    if (entry == nullptr) {
        if (isSettled(record))
            record.occurrences = {};
        m_unmatchedProgress[job.str()] = { std::move(record), revision };
        return;
    }
    entry->progress.restore(std::move(record));
    entry->revision = revision;
    updateDueTime(*entry);
}

void JobRegistry::addCancellation(const JobId& job)
{
    m_cancelled.emplace(job.str(), true);
}

JobEntry* JobRegistry::find(const JobId& job)
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

const JobEntry* JobRegistry::find(const JobId& job) const
{
    const auto found = m_entries.find(job);
    return found == m_entries.end() ? nullptr : &found->second;
}

void JobRegistry::markDirty(JobEntry& entry)
{
    if (entry.isDirty)
        return;
    entry.isDirty = true;
    m_dirty.push_back(entry.progress.job().id);
}

void JobRegistry::markDirtyLater(JobEntry& entry)
{
    if (entry.isDirty || entry.isDirtyLater)
        return;
    entry.isDirtyLater = true;
    m_dirtyLater.push_back(entry.progress.job().id);
}

// The job stays marked as dirty, so that changes do not queue it sooner.
void JobRegistry::postpone(JobEntry& entry, absl::Time until)
{
    const JobId& job = entry.progress.job().id;
    m_dirty.erase(std::remove(m_dirty.begin(), m_dirty.end(), job), m_dirty.end());
    entry.isDirty = true;
    entry.isWrittenAlone = true;
    m_postponed.set(job, until);
}

void JobRegistry::queuePostponed(absl::Time now)
{
    for (const JobId& job : m_postponed.dueBy(now)) {
        m_postponed.set(job, absl::InfiniteFuture());
        if (find(job) != nullptr)
            m_dirty.push_back(job);
    }
}

std::size_t JobRegistry::writtenTogether(std::size_t count) const
{
    const std::size_t most = std::min(count, m_dirty.size());
    std::int64_t bytes = 0;
    for (std::size_t position = 0; position < most; ++position) {
        const JobEntry& entry = *find(m_dirty[position]);
        bytes += entry.progress.recordBytes();
        if (entry.isWrittenAlone || bytes > maxBytesTogether)
            return std::max<std::size_t>(1, position);
    }
    return most;
}

std::vector<JobId> JobRegistry::takeDirty(std::size_t count, bool takesLater)
{
    const std::size_t taken = writtenTogether(count);
    const bool isAlone = taken == 1 && find(m_dirty.front())->isWrittenAlone;
    std::vector<JobId> jobs(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(taken));
    m_dirty.erase(m_dirty.begin(), m_dirty.begin() + static_cast<std::ptrdiff_t>(taken));
    std::int64_t bytes = 0;
    for (const JobId& job : jobs) {
        markWriting(*find(job));
        bytes += find(job)->progress.recordBytes();
    }
    while (takesLater && !isAlone && jobs.size() < count && bytes < maxBytesTogether && !m_dirtyLater.empty()) {
        const JobId job = m_dirtyLater.front();
        m_dirtyLater.pop_front();
        JobEntry* entry = find(job);
        if (entry == nullptr || !entry->isDirtyLater || entry->isDirty)
            continue;
        markWriting(*entry);
        bytes += entry->progress.recordBytes();
        jobs.push_back(job);
    }
    return jobs;
}

void JobRegistry::markWriting(JobEntry& entry)
{
    entry.isDirty = false;
    entry.isDirtyLater = false;
    entry.isWriting = true;
}

QueueCounts JobRegistry::countWaiting() const
{
    QueueCounts counts;
    for (const auto& [id, entry] : m_entries) {
        const Job& job = entry.progress.job();
        const bool hasTimes = job.spec.repeatCount > 0 || job.spec.firstDue != absl::InfinitePast();
        if (!entry.progress.hasBegun() && !entry.progress.isFinal() && !hasTimes)
            ++counts.waiting[job.queue];
    }
    for (const auto& [id, deferred] : m_deferred) {
        if (!deferred.hasTimes)
            ++counts.waiting[deferred.queue];
    }
    return counts;
}

void JobRegistry::updateDueTime(const JobEntry& entry)
{
    m_due.set(entry.progress.job().id, entry.progress.nextDue());
}

bool JobRegistry::openDueOccurrences(absl::Time now)
{
    bool isOpened = false;
    for (const JobId& job : m_due.dueBy(now)) {
        JobEntry& entry = *find(job);
        isOpened = entry.progress.openDueOccurrences(now) || isOpened;
        updateDueTime(entry);
    }
    return isOpened;
}

std::vector<JobId> JobRegistry::endedBefore(absl::Time time, std::size_t count) const
{
    std::vector<JobId> jobs;
    for (const auto& [id, entry] : m_entries) {
        if (jobs.size() >= count)
            break;
        const bool isOver = entry.progress.isFinal() && entry.progress.record().endedAt < time;
        if (isOver && !entry.isDirty && !entry.isWriting && !entry.progress.hasPlacedTasks())
            jobs.push_back(id);
    }
    return jobs;
}

void JobRegistry::remove(const JobId& job, Revision revision)
{
    if (m_removed.insert_or_assign(job.str(), revision).second)
        m_removalOrder.push_back(job.str());
    if (m_removalOrder.size() > rememberedRemovals) {
        m_removed.erase(m_removalOrder.front());
        m_removalOrder.pop_front();
    }
    const auto removed = m_entries.find(job);
    if (removed != m_entries.end()) {
        m_footprints -= removed->second.footprint;
        m_entries.erase(removed);
    }
    m_deferred.erase(job);
    m_due.set(job, absl::InfiniteFuture());
    m_postponed.set(job, absl::InfiniteFuture());
    m_cancelled.erase(job.text());
}

} // namespace mangohall::batch
