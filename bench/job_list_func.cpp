#include "job_list_func.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "absl/strings/str_cat.h"
#include "core/hash_func.h"

namespace mangohall {
namespace {

constexpr int racksPerShard = 2;
constexpr int workersPerRack = 8;
constexpr std::int32_t acceleratorsPerWorker = 8;
constexpr double acceleratorsInDeployment = 3.0 * racksPerShard * workersPerRack * acceleratorsPerWorker;
constexpr absl::Duration trialLength = absl::Hours(4);
constexpr absl::Duration burstPeriod = absl::Minutes(40);
constexpr absl::Duration reclaimRunTime = absl::Minutes(15);
constexpr absl::Duration outageDuration = absl::Minutes(10);
constexpr int outageCount = 8;
// Declared run times deviate from the actual ones by up to this factor in either direction.
constexpr double declarationError = 8.0;

// A kind of job and its share of the steady load.
struct JobKind {
    Shape shape;
    absl::Duration meanRunTime;
    double loadShare;
    // The share of such jobs that have a deadline. It is largest for the small kinds because callers wait for those.
    double deadlineShare;
};

// The properties in which the deployments differ.
struct DeploymentProfile {
    absl::string_view name;
    absl::string_view service;
    std::vector<absl::string_view> dataCentres;
    std::int64_t memoryBytes;
    std::vector<JobKind> kinds;
    // The mean share of all accelerators that the steady load keeps busy.
    double steadyLoad;
    // The number of jobs in a burst of the first or the last of `kinds`; the two alternate.
    int smallBurst;
    int largeBurst;
};

DeploymentProfile profileOf(absl::string_view deployment)
{
    const JobKind single { { 1, 1, Adjacency::Anywhere }, absl::Minutes(1), 0.3, 0.8 };
    const JobKind pairOnWorker { { 1, 2, Adjacency::SameWorker }, absl::Minutes(2), 0.3, 0.8 };
    const JobKind halfWorker { { 1, 4, Adjacency::SameWorker }, absl::Minutes(10), 0.2, 0 };
    const JobKind fourWorkers { { 4, 8, Adjacency::SameRack }, absl::Minutes(20), 0.2, 0 };
    if (deployment == "zagara")
        return { "zagara", "regdesk", { "ct-a", "sr-b", "pa-a" }, std::int64_t { 256 } << 30,
            { single, pairOnWorker, halfWorker, fourWorkers }, 0.75, 1800, 6 };
    const JobKind singleInCaroni { single.shape, single.meanRunTime, 0.25, 0.8 };
    const JobKind wideInRack { { 16, 1, Adjacency::SameRack }, absl::Minutes(10), 0.15, 0.1 };
    const JobKind wholeWorker { { 1, 8, Adjacency::SameWorker }, absl::Minutes(10), 0.2, 0.1 };
    const JobKind multiWorker { { 6, 8, Adjacency::SameRack }, absl::Minutes(20), 0.2, 0 };
    return { "caroni", "booking-desk", { "arima", "maracas", "chaguanas" }, std::int64_t { 512 } << 30,
        { singleInCaroni, wideInRack, wholeWorker, fourWorkers, multiWorker }, 0.65, 900, 9 };
}

// Generates a plan. It derives every value from the raw output of the generator because the distributions of the
// standard library give other values in each implementation.
class TrialPlanGenerator {
public:
    TrialPlanGenerator(const DeploymentProfile& profile, std::uint64_t seed)
        : m_profile(profile)
        , m_random(seed ^ stableHash(profile.name))
    {
        m_plan.deployment = std::string(profile.name);
        m_plan.startsAt = absl::UnixEpoch();
        m_plan.endsAt = m_plan.startsAt + trialLength;
    }

    TrialPlan generate()
    {
        addShards();
        addOrganisations();
        for (const JobKind& kind : m_profile.kinds)
            addSteadyLoad(kind);
        addBursts();
        addReclaimJobs();
        addOutages();
        std::stable_sort(m_plan.jobs.begin(), m_plan.jobs.end(),
            [](const TrialJob& left, const TrialJob& right) { return left.arrivesAt < right.arrivesAt; });
        return std::move(m_plan);
    }

private:
    double uniform() { return static_cast<double>(m_random() >> 11) * 0x1.0p-53; }
    double exponential(double mean) { return -mean * std::log1p(-uniform()); }
    std::size_t uniformBelow(std::size_t count) { return static_cast<std::size_t>(m_random() % count); }

    void addShards()
    {
        for (const absl::string_view dataCentre : m_profile.dataCentres) {
            m_plan.shards.emplace_back(dataCentre);
            m_plan.workers.emplace_back();
            for (int index = 0; index < racksPerShard * workersPerRack; ++index)
                m_plan.workers.back().push_back(makeWorker(dataCentre, index));
        }
        m_plan.services.push_back({ ServiceName(m_profile.service), 8, 64 });
    }

    VmEntry makeWorker(absl::string_view dataCentre, int index)
    {
        VmEntry vm;
        vm.rack = RackName(absl::StrCat(dataCentre, "-r", index / workersPerRack));
        vm.worker = WorkerName(absl::StrCat(vm.rack.text(), "-w", index % workersPerRack));
        vm.dataCentre = DataCentreName(dataCentre);
        vm.capacity = { 128000, m_profile.memoryBytes, acceleratorsPerWorker };
        return vm;
    }

    void addOrganisations()
    {
        for (const char* name : { "returning", "renter", "builder", "guest" }) {
            Organisation organisation;
            organisation.name = OrganisationName(name);
            organisation.maxQueuedJobs = 100000;
            m_plan.organisations.push_back(organisation);
        }
        for (const ShardName& shard : m_plan.shards) {
            addGuarantee(shard, "returning", 1, 32, Adjacency::SameRack);
            addGuarantee(shard, "renter", 2, 8, Adjacency::SameWorker);
            addGuarantee(shard, "builder", 1, 16, Adjacency::SameRack);
        }
    }

    void addGuarantee(const ShardName& shard, absl::string_view owner, int cells, int accelerators, Adjacency adjacency)
    {
        m_plan.guarantees.push_back({ GuaranteeName(absl::StrCat(owner, "-", shard.text())), OrganisationName(owner),
            shard, cells, accelerators, adjacency });
    }

    void addSteadyLoad(const JobKind& kind)
    {
        const double meanBusyAccelerators = acceleratorsInDeployment * m_profile.steadyLoad * kind.loadShare;
        const double acceleratorSecondsPerJob
            = absl::ToDoubleSeconds(kind.meanRunTime) * kind.shape.tasks * kind.shape.acceleratorsPerTask;
        const double meanGapSeconds = acceleratorSecondsPerJob / meanBusyAccelerators;
        absl::Time at = m_plan.startsAt + absl::Seconds(exponential(meanGapSeconds));
        while (at < m_plan.endsAt) {
            addJob(kind, at);
            at += absl::Seconds(exponential(meanGapSeconds));
        }
    }

    void addBursts()
    {
        bool isLarge = false;
        for (absl::Time at = m_plan.startsAt + burstPeriod / 2; at < m_plan.endsAt; at += burstPeriod) {
            const JobKind& kind = isLarge ? m_profile.kinds.back() : m_profile.kinds.front();
            const int count = isLarge ? m_profile.largeBurst : m_profile.smallBurst;
            for (int job = 0; job < count; ++job)
                addJob(kind, at + absl::Milliseconds(10 * job));
            isLarge = !isLarge;
        }
    }

    void addJob(const JobKind& kind, absl::Time at)
    {
        TrialJob job;
        job.key = { drawOrganisation(), absl::StrCat("job", m_plan.jobs.size()) };
        job.shard = uniformBelow(m_plan.shards.size());
        job.arrivesAt = at;
        const double mean = absl::ToDoubleSeconds(kind.meanRunTime);
        job.runTime = absl::Seconds(std::clamp(exponential(mean), mean / 10, mean * 4));
        job.spec.service = ServiceName(m_profile.service);
        job.spec.shape = kind.shape;
        job.spec.cpuMillisPerTask = 1000;
        job.spec.memoryBytesPerTask = std::int64_t { 1 } << 30;
        job.spec.expectedRunTime = job.runTime * std::pow(declarationError, 2 * uniform() - 1);
        job.spec.isCheckpointable = uniform() < 0.7;
        if (uniform() < kind.deadlineShare)
            job.spec.deadline = absl::Minutes(2) + job.runTime * (2 + 4 * uniform());
        m_plan.jobs.push_back(job);
    }

    OrganisationName drawOrganisation()
    {
        const double draw = uniform();
        if (draw < 0.35)
            return OrganisationName("renter");
        return OrganisationName(draw < 0.6 ? "builder" : "guest");
    }

    // The organisation "returning" requests its whole guarantee in every shard after each long absence.
    void addReclaimJobs()
    {
        for (const absl::Duration after : { absl::Minutes(75), absl::Minutes(130), absl::Minutes(205) }) {
            for (std::size_t shard = 0; shard < m_plan.shards.size(); ++shard) {
                const absl::Duration jitter = absl::Seconds(600 * uniform());
                addJob({ { 4, 8, Adjacency::SameRack }, reclaimRunTime, 0, 0 }, m_plan.startsAt + after + jitter);
                TrialJob& job = m_plan.jobs.back();
                job.key.organisation = OrganisationName("returning");
                job.shard = shard;
                job.runTime = reclaimRunTime;
                job.spec.priority = Priority::Urgent;
                job.spec.isCheckpointable = false;
                job.spec.deadline = absl::InfiniteDuration();
                job.isReclaim = true;
            }
        }
    }

    void addOutages()
    {
        for (int outage = 0; outage < outageCount; ++outage) {
            const std::size_t shard = uniformBelow(m_plan.shards.size());
            const WorkerName& worker = m_plan.workers[shard][uniformBelow(m_plan.workers[shard].size())].worker;
            const absl::Time startsAt = m_plan.startsAt + trialLength * uniform();
            m_plan.outages.push_back({ shard, worker, startsAt, startsAt + outageDuration });
        }
    }

    const DeploymentProfile& m_profile;
    std::mt19937_64 m_random;
    TrialPlan m_plan;
};

} // namespace

TrialPlan makeTrialPlan(absl::string_view deployment, absl::string_view load, std::uint64_t seed)
{
    DeploymentProfile profile = profileOf(deployment);
    if (load == "half")
        profile.steadyLoad /= 2;
    TrialPlan plan = TrialPlanGenerator(profile, seed).generate();
    plan.load = std::string(load);
    return plan;
}

} // namespace mangohall
