#include "placement/load_estimator_base.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mangohall {
namespace {

// With fewer observations, estimates of a class fall back to its whole service.
constexpr int minObservations = 8;
// At this number of observations the counts of all buckets are halved, so that old observations lose weight.
constexpr int maxObservations = 512;
// The corrected size is this quantile of the measured sizes times the margin.
constexpr double sizeQuantile = 0.9;
constexpr double sizeMargin = 1.1;
// Lower bounds of the ratio of corrected to declared size. They limit overcommit.
constexpr double minCpuRatio = 0.5;
constexpr double minMemoryRatio = 0.7;
// Upper bound of the ratio of corrected to declared size.
constexpr double maxSizeRatio = 4.0;
constexpr double longRunQuantile = 0.9;
constexpr double medianQuantile = 0.5;

// The class of all shapes of the organisation's service.
LoadClass wholeService(LoadClass key)
{
    key.acceleratorsPerTask = -1;
    key.taskScale = 0;
    return key;
}

double ratioOf(std::int64_t measured, std::int64_t declared)
{
    return static_cast<double>(measured) / static_cast<double>(std::max<std::int64_t>(declared, 1));
}

std::int64_t corrected(std::int64_t declared, const RatioHistogram* histogram, double minRatio)
{
    if (histogram == nullptr)
        return declared;
    const double ratio = std::clamp(histogram->quantile(sizeQuantile) * sizeMargin, minRatio, maxSizeRatio);
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(declared) * ratio));
}

} // namespace

void RatioHistogram::add(double ratio)
{
    if (m_count >= maxObservations) {
        m_count = 0;
        for (std::uint16_t& bucket : m_buckets) {
            bucket /= 2;
            m_count += bucket;
        }
    }
    const double octave = std::log2(std::max(ratio, 1e-6)) + octaves / 2.0;
    const int bucket = std::clamp(static_cast<int>(std::ceil(octave * bucketsPerOctave)), 0, bucketCount - 1);
    ++m_buckets[static_cast<std::size_t>(bucket)];
    ++m_count;
}

double RatioHistogram::quantile(double fraction) const
{
    if (m_count == 0)
        return 1.0;
    const int rank = std::max(1, static_cast<int>(std::ceil(fraction * m_count)));
    int cumulativeCount = 0;
    int bucket = 0;
    while (bucket < bucketCount - 1) {
        cumulativeCount += m_buckets[static_cast<std::size_t>(bucket)];
        if (cumulativeCount >= rank)
            break;
        ++bucket;
    }
    return std::exp2(static_cast<double>(bucket) / bucketsPerOctave - octaves / 2.0);
}

LoadClass loadClassOf(const OrganisationName& organisation, const JobSpec& spec)
{
    const std::uint32_t tasks = static_cast<std::uint32_t>(std::max(spec.shape.tasks, 1));
    return { organisation, spec.service, spec.shape.acceleratorsPerTask,
        static_cast<std::int32_t>(std::bit_ceil(tasks)) };
}

LoadEstimator::LoadEstimator(std::size_t maxClasses)
    : m_maxClasses(std::max<std::size_t>(maxClasses, 2))
{
}

LoadEstimator::ClassHistory& LoadEstimator::historyOf(const LoadClass& key)
{
    const auto [entry, isNew] = m_classes.try_emplace(key);
    if (!isNew) {
        m_recency.splice(m_recency.begin(), m_recency, entry->second.recency);
        return entry->second;
    }
    m_recency.push_front(key);
    entry->second.recency = m_recency.begin();
    if (m_classes.size() > m_maxClasses) {
        m_classes.erase(m_recency.back());
        m_recency.pop_back();
    }
    return m_classes.at(key);
}

void LoadEstimator::observeUsage(const OrganisationName& organisation, const JobSpec& spec, const Resources& usage)
{
    const LoadClass key = loadClassOf(organisation, spec);
    for (const LoadClass& each : { wholeService(key), key }) {
        ClassHistory& history = historyOf(each);
        history.cpu.add(ratioOf(usage.cpuMillis, spec.cpuMillisPerTask));
        history.memory.add(ratioOf(usage.memoryBytes, spec.memoryBytesPerTask));
    }
}

void LoadEstimator::observeRun(const OrganisationName& organisation, const JobSpec& spec, absl::Duration runTime)
{
    const double ratio = absl::FDivDuration(runTime, std::max(spec.expectedRunTime, absl::Milliseconds(1)));
    const LoadClass key = loadClassOf(organisation, spec);
    for (const LoadClass& each : { wholeService(key), key })
        historyOf(each).runTime.add(ratio);
}

const RatioHistogram* LoadEstimator::findHistogram(
    const OrganisationName& organisation, const JobSpec& spec, RatioHistogram ClassHistory::*histogram) const
{
    const LoadClass key = loadClassOf(organisation, spec);
    for (const LoadClass& each : { key, wholeService(key) }) {
        const auto history = m_classes.find(each);
        if (history != m_classes.end() && (history->second.*histogram).count() >= minObservations)
            return &(history->second.*histogram);
    }
    return nullptr;
}

Resources LoadEstimator::demandPerTask(const OrganisationName& organisation, const JobSpec& spec) const
{
    Resources demand;
    demand.cpuMillis
        = corrected(spec.cpuMillisPerTask, findHistogram(organisation, spec, &ClassHistory::cpu), minCpuRatio);
    demand.memoryBytes
        = corrected(spec.memoryBytesPerTask, findHistogram(organisation, spec, &ClassHistory::memory), minMemoryRatio);
    demand.accelerators = spec.shape.acceleratorsPerTask;
    return demand;
}

absl::Duration LoadEstimator::runTimeQuantile(
    const OrganisationName& organisation, const JobSpec& spec, double fraction) const
{
    const RatioHistogram* histogram = findHistogram(organisation, spec, &ClassHistory::runTime);
    return histogram == nullptr ? spec.expectedRunTime : spec.expectedRunTime * histogram->quantile(fraction);
}

absl::Duration LoadEstimator::medianRunTime(const OrganisationName& organisation, const JobSpec& spec) const
{
    return runTimeQuantile(organisation, spec, medianQuantile);
}

absl::Duration LoadEstimator::longRunTime(const OrganisationName& organisation, const JobSpec& spec) const
{
    return runTimeQuantile(organisation, spec, longRunQuantile);
}

} // namespace mangohall
