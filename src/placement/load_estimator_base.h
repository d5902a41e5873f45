// Estimates the resource use and run time of jobs from earlier jobs.
#pragma once

#include <array>
#include <list>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "job/job_type.h"
#include "worker/worker_type.h"

namespace mangohall {

// A histogram of the ratio of measured to declared values, in buckets of a quarter octave. The weight of old
// observations is halved from time to time.
class RatioHistogram {
public:
    void add(double ratio);
    // Number of observations, after halving.
    int count() const { return m_count; }
    // The upper edge of the bucket that contains the quantile. `fraction` is from 0 to 1. Returns 1 if the histogram is
    // empty.
    double quantile(double fraction) const;

private:
    static constexpr int bucketsPerOctave = 4;
    static constexpr int octaves = 10;
    static constexpr int bucketCount = octaves * bucketsPerOctave + 1;

    std::array<std::uint16_t, bucketCount> m_buckets {};
    int m_count = 0;
};

// Key of a class of jobs that are expected to use similar resources.
struct LoadClass {
    OrganisationName organisation;
    ServiceName service;
    std::int32_t acceleratorsPerTask = 0;
    // The number of tasks, rounded up to a power of two.
    std::int32_t taskScale = 1;

    friend bool operator==(const LoadClass&, const LoadClass&) = default;
    template <typename H> friend H AbslHashValue(H state, const LoadClass& key)
    {
        return H::combine(std::move(state), key.organisation, key.service, key.acceleratorsPerTask, key.taskScale);
    }
};

LoadClass loadClassOf(const OrganisationName& organisation, const JobSpec& spec);

// Estimates by class of job. A class with few observations falls back to all jobs of the organisation's service, and
// without enough of these to the declared values. Keeps a bounded number of classes and drops the class that was
// updated least recently.
class LoadEstimator {
public:
    explicit LoadEstimator(std::size_t maxClasses = defaultMaxClasses);

    // Records the resources that one task uses.
    void observeUsage(const OrganisationName& organisation, const JobSpec& spec, const Resources& usage);
    // Records the run time of a job that ended by itself.
    void observeRun(const OrganisationName& organisation, const JobSpec& spec, absl::Duration runTime);

    // The expected demand of each task. The accelerators are those declared. Processor time and memory are at least the
    // declared values times the lower bounds of overcommit.
    Resources demandPerTask(const OrganisationName& organisation, const JobSpec& spec) const;
    // The median run time of such jobs.
    absl::Duration medianRunTime(const OrganisationName& organisation, const JobSpec& spec) const;
    // The run time that nine of ten such jobs do not exceed.
    absl::Duration longRunTime(const OrganisationName& organisation, const JobSpec& spec) const;

    std::size_t classCount() const { return m_classes.size(); }

private:
    static constexpr std::size_t defaultMaxClasses = 4096;

    // The observations of one class.
    struct ClassHistory {
        RatioHistogram cpu;
        RatioHistogram memory;
        RatioHistogram runTime;
        // Position of the class in m_recency.
        std::list<LoadClass>::iterator recency;
    };

    // The history of the class, which becomes the most recent one. Adds it if necessary and then drops the least recent
    // class if there are too many.
    ClassHistory& historyOf(const LoadClass& key);
    // The given histogram of the job's class, or else of its whole service. Null if neither has enough observations.
    const RatioHistogram* findHistogram(
        const OrganisationName& organisation, const JobSpec& spec, RatioHistogram ClassHistory::*histogram) const;
    absl::Duration runTimeQuantile(const OrganisationName& organisation, const JobSpec& spec, double fraction) const;

    std::size_t m_maxClasses;
    absl::flat_hash_map<LoadClass, ClassHistory> m_classes;
    // Ordered from the most to the least recently updated class.
    std::list<LoadClass> m_recency;
};

} // namespace mangohall
