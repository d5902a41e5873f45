// How much is let in, and what becomes of it, as the memory for jobs runs out.
#include "batch/admission/admission_func.h"

#include <algorithm>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "batch/batch_cluster_base.h"
#include "batch/job/job_footprint_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr std::int64_t budget = 1600;

TEST(Admission, StopsLargeJobsFirstAndGuaranteedOnesLast)
{
    EXPECT_FALSE(admissionLimitFor(budget * 3 / 8 - 1, budget, absl::nullopt));
    const absl::optional<AdmissionLimit> early = admissionLimitFor(budget * 3 / 8, budget, absl::nullopt);
    EXPECT_TRUE(isAdmitted(early, smallJobBytes, false));
    EXPECT_FALSE(isAdmitted(early, smallJobBytes + 1, true));
    const absl::optional<AdmissionLimit> late = admissionLimitFor(budget * 5 / 8, budget, early);
    EXPECT_TRUE(isAdmitted(late, ordinaryJobBytes, false));
    EXPECT_FALSE(isAdmitted(late, ordinaryJobBytes + 1, true));
    const absl::optional<AdmissionLimit> last = admissionLimitFor(budget * 7 / 8, budget, late);
    EXPECT_FALSE(isAdmitted(last, 1, false));
    EXPECT_TRUE(isAdmitted(last, ordinaryJobBytes, true));
    EXPECT_FALSE(isAdmitted(admissionLimitFor(budget * 15 / 16, budget, last), 1, true));
}

// Guards against a limit that changes with each job that ends.
TEST(Admission, IsRelaxedOnlyOnceASixteenthLessIsHeld)
{
    const absl::optional<AdmissionLimit> early = admissionLimitFor(budget * 3 / 8, budget, absl::nullopt);
    EXPECT_EQ(admissionLimitFor(budget * 5 / 16, budget, early), early);
    EXPECT_FALSE(admissionLimitFor(budget * 5 / 16 - 1, budget, early));
    const absl::optional<AdmissionLimit> last = admissionLimitFor(budget * 7 / 8, budget, early);
    EXPECT_EQ(admissionLimitFor(budget * 13 / 16, budget, last), last);
    const absl::optional<AdmissionLimit> late = admissionLimitFor(budget * 13 / 16 - 1, budget, last);
    EXPECT_TRUE(isAdmitted(late, ordinaryJobBytes, false));
}

// Guards against a default that ordinary callers meet: three steps with the longest payload are admitted longest.
TEST(Admission, TakesTheJobsOfOrdinaryCallersForSmall)
{
    JobSpec spec = gangOf(std::string(4000, 'p'), 512, 8);
    spec.steps.front().requiredLabel = WorkerLabel("a");
    spec.steps.front().dataRack = RackName("r1");
    spec.steps.push_back(spec.steps.front());
    spec.steps.push_back(spec.steps.front());
    EXPECT_LE(jobFootprint(spec), ordinaryJobBytes);
}

std::string pathOf(int job)
{
    return absl::StrCat("/batch/", absl::Hex(job, absl::kZeroPad16));
}

// A job of many steps that no worker has room for.
JobSpec largeJob()
{
    JobSpec spec = tasksOf("large", 1, 0);
    spec.steps.front().demand.memoryBytes = std::int64_t { 1 } << 60;
    spec.steps.edit().assign(500, StepSpec(spec.steps.front()));
    return spec;
}

class AdmissionOfCluster : public testing::Test {
protected:
    AdmissionOfCluster()
    {
        m_cluster.setJobMemory(20 * jobFootprint(largeJob()));
        for (int node = 0; node < 3; ++node) {
            m_cluster.kill(node);
            m_cluster.start(node);
        }
        m_cluster.runFor(absl::Seconds(3));
    }

    // Submits large jobs to all nodes, and returns the outcome of each.
    std::vector<ErrorKind> submitLarge(int first, int count)
    {
        std::vector<CallerId> callers;
        for (int job = first; job < first + count; ++job) {
            callers.push_back(m_cluster.submit(job % 3, pathOf(job), largeJob()));
            m_cluster.runFor(absl::Milliseconds(20));
        }
        m_cluster.runFor(absl::Seconds(1));
        std::vector<ErrorKind> kinds;
        kinds.reserve(callers.size());
        for (const CallerId caller : callers)
            kinds.push_back(m_cluster.kindOf(caller));
        return kinds;
    }

    // Writes an accepted job into the store.
    void store(int job, const JobSpec& spec)
    {
        Job stored;
        stored.id = JobId(pathOf(job).substr(7));
        stored.queue = QueueName("batch");
        stored.service = ServiceName("desk");
        stored.terms = { 2, 3, 3, absl::Seconds(3) };
        stored.spec = spec;
        stored.acceptedAt = m_cluster.timeline().now();
        m_cluster.store().put({ Collection::Jobs, stored.id.str() }, stored);
    }

    std::ptrdiff_t countOf(DecisionEffect::Kind kind) const
    {
        const std::vector<DecisionEffect>& all = m_cluster.decisions();
        return std::count_if(
            all.begin(), all.end(), [kind](const DecisionEffect& decision) { return decision.kind == kind; });
    }

    ErrorKind kindOf(CallerId caller)
    {
        m_cluster.runFor(absl::Seconds(1));
        return m_cluster.kindOf(caller);
    }

    BatchCluster m_cluster;
};

// Guards against an owner, and a next one, that is ended by the jobs that nodes accept, against a refusal that is not
// true, and against an ordinary caller who is refused for them.
TEST_F(AdmissionOfCluster, RefusesLargeJobsAndServesEverythingElse)
{
    constexpr int count = 40;
    const std::vector<ErrorKind> kinds = submitLarge(1, count);
    const auto accepted = std::count(kinds.begin(), kinds.end(), ErrorKind::None);
    EXPECT_GE(accepted, 7);
    EXPECT_LE(accepted, 20);
    for (int job = 1; job <= count; ++job) {
        const bool isAccepted = kinds[static_cast<std::size_t>(job) - 1] == ErrorKind::None;
        if (!isAccepted) {
            EXPECT_EQ(kinds[static_cast<std::size_t>(job) - 1], ErrorKind::QueueFull);
        }
        EXPECT_EQ(m_cluster.store().find({ Collection::Jobs, pathOf(job).substr(7) }) != nullptr, isAccepted);
        EXPECT_EQ(kindOf(m_cluster.query(job % 3, pathOf(job))), isAccepted ? ErrorKind::None : ErrorKind::NoSuchJob);
    }
    for (int node = 0; node < 3; ++node) {
        EXPECT_EQ(kindOf(m_cluster.submit(node, pathOf(1), largeJob())), ErrorKind::None) << "known";
        EXPECT_EQ(kindOf(m_cluster.submit(node, pathOf(1000 + node), tasksOf("p", 1, 1))), ErrorKind::None) << "small";
    }
    m_cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(m_cluster.phaseOf(pathOf(1000)), JobPhase::Completed);
    // Room that is freed is used again.
    for (int job = 1; job <= count; ++job) {
        if (kinds[static_cast<std::size_t>(job) - 1] == ErrorKind::None) {
            EXPECT_EQ(kindOf(m_cluster.cancel(0, pathOf(job))), ErrorKind::None);
        }
    }
    m_cluster.runFor(absl::Seconds(15));
    EXPECT_EQ(m_cluster.store().find({ Collection::Admission, "" }), nullptr);
    EXPECT_EQ(submitLarge(2000, 1).front(), ErrorKind::None);
}

// Guards against a crash that goes round: each next owner reads what the store holds.
TEST_F(AdmissionOfCluster, HoldsWhatFitsOfAStoreThatHoldsMore)
{
    constexpr int count = 60;
    for (int node = 0; node < 3; ++node)
        m_cluster.kill(node);
    for (int job = 1; job <= count; ++job)
        store(job, largeJob());
    for (int node = 0; node < 3; ++node)
        m_cluster.start(node);
    m_cluster.runFor(absl::Seconds(10));
    EXPECT_GE(countOf(DecisionEffect::Kind::JobDeferred), count - 20);
    EXPECT_EQ(kindOf(m_cluster.submit(1, pathOf(1000), largeJob())), ErrorKind::QueueFull);
    // Each is shown and can be cancelled, whether it is held or not; none is lost.
    for (int job = 1; job <= count; ++job)
        EXPECT_EQ(m_cluster.phaseOf(pathOf(job)), JobPhase::Pending);
    const QueueCounts counts = std::get<QueueCounts>(m_cluster.store().find({ Collection::QueueCounts, "" })->value);
    EXPECT_EQ(counts.waiting.at(QueueName("batch")), count);
    for (int job = 1; job <= count; job += 2)
        EXPECT_EQ(kindOf(m_cluster.cancel(0, pathOf(job))), ErrorKind::None);
    m_cluster.runFor(absl::Seconds(20));
    for (int job = 1; job <= count; ++job)
        EXPECT_EQ(m_cluster.phaseOf(pathOf(job)), job % 2 == 1 ? JobPhase::Aborted : JobPhase::Pending);
}

// Guards against a job that is deferred again each time it has been read.
TEST_F(AdmissionOfCluster, HoldsAJobThatExceedsTheBudgetByItself)
{
    JobSpec spec = largeJob();
    spec.steps.edit().assign(15000, StepSpec(spec.steps.front()));
    store(1, spec);
    m_cluster.runFor(absl::Seconds(5));
    EXPECT_EQ(countOf(DecisionEffect::Kind::JobDeferred), 1);
    EXPECT_EQ(countOf(DecisionEffect::Kind::JobAdded), 1);
    EXPECT_EQ(m_cluster.phaseOf(pathOf(1)), JobPhase::Pending);
}

} // namespace
} // namespace mangohall::batch
