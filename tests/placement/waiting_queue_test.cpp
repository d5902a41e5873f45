#include "placement/waiting_queue_base.h"

#include <string>
#include <vector>

#include "core/error_func.h"
#include "placement/placement_fixture.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

// Records the order of the candidates and places the first `placeCount` of them.
class RecordingVisitor : public CandidateVisitor {
public:
    explicit RecordingVisitor(int placeCount = 0)
        : m_placementsLeft(placeCount)
    {
    }

    VisitResult visit(const WaitingRequest& candidate, WaitingStage /*stage*/) override
    {
        m_keys.push_back(candidate.request.attempt.job.requestKey);
        return m_placementsLeft-- > 0 ? VisitResult::Placed : VisitResult::NotPlaced;
    }

    const std::vector<std::string>& keys() const { return m_keys; }

private:
    int m_placementsLeft;
    std::vector<std::string> m_keys;
};

const absl::Time testStart = absl::UnixEpoch() + absl::Hours(1);

WaitingRequest makeWaiting(absl::string_view organisation, absl::string_view key)
{
    WaitingRequest waiting;
    waiting.request = makeRequest(organisation, key, { 1, 1, Adjacency::Anywhere }, true);
    waiting.acceptedAt = testStart;
    waiting.expectedRunTime = absl::Minutes(1);
    return waiting;
}

// The keys of all requests in the order of a visit that places none.
std::vector<std::string> orderOf(WaitingQueue& queue)
{
    RecordingVisitor visitor;
    queue.visit(testStart, visitor);
    return visitor.keys();
}

TEST(FairQueue, ServesUrgentThenGuaranteedThenLeastSlackThenTheRest)
{
    const std::unique_ptr<WaitingQueue> queue = makeFairQueue();
    ASSERT_TRUE(queue->push(makeWaiting("a", "rest")).ok());
    WaitingRequest late = makeWaiting("a", "muchSlack");
    late.deadline = testStart + absl::Minutes(10);
    ASSERT_TRUE(queue->push(late).ok());
    WaitingRequest longRun = makeWaiting("a", "littleSlack");
    longRun.deadline = testStart + absl::Minutes(20);
    longRun.expectedRunTime = absl::Minutes(18);
    ASSERT_TRUE(queue->push(longRun).ok());
    WaitingRequest guaranteed = makeWaiting("b", "guaranteed");
    guaranteed.isGuaranteed = true;
    ASSERT_TRUE(queue->push(guaranteed).ok());
    WaitingRequest urgent = makeWaiting("c", "urgent");
    urgent.request.spec.priority = Priority::Urgent;
    ASSERT_TRUE(queue->push(urgent).ok());
    const std::vector<std::string> expected { "urgent", "guaranteed", "littleSlack", "muchSlack", "rest",
        "guaranteed" };
    EXPECT_EQ(orderOf(*queue), expected);
}

TEST(FairQueue, SharesByWeightAndPastUse)
{
    const std::unique_ptr<WaitingQueue> queue = makeFairQueue();
    Organisation heavy;
    heavy.name = OrganisationName("heavy");
    heavy.weight = 2;
    queue->setOrganisations({ &heavy, 1 });
    for (const char* key : { "1", "2", "3", "4" }) {
        ASSERT_TRUE(queue->push(makeWaiting("heavy", absl::StrCat("heavy", key))).ok());
        ASSERT_TRUE(queue->push(makeWaiting("light", absl::StrCat("light", key))).ok());
    }
    queue->charge(OrganisationName("heavy"), absl::Seconds(1), testStart);
    RecordingVisitor visitor(6);
    queue->visit(testStart, visitor);
    const std::vector<std::string> placed(visitor.keys().begin(), visitor.keys().begin() + 6);
    const std::vector<std::string> expected { "light1", "heavy1", "heavy2", "light2", "heavy3", "heavy4" };
    EXPECT_EQ(placed, expected);
    EXPECT_EQ(queue->size(), 2U);
}

TEST(FairQueue, ForgetsPastUse)
{
    const std::unique_ptr<WaitingQueue> queue = makeFairQueue();
    queue->charge(OrganisationName("a"), absl::Hours(10), testStart);
    queue->charge(OrganisationName("b"), absl::Hours(1), testStart + 10 * shareHalfLife);
    ASSERT_TRUE(queue->push(makeWaiting("b", "b")).ok());
    ASSERT_TRUE(queue->push(makeWaiting("a", "a")).ok());
    RecordingVisitor visitor;
    queue->visit(testStart + 10 * shareHalfLife, visitor);
    EXPECT_EQ(visitor.keys().front(), "a");
}

class EachQueueTest : public testing::TestWithParam<bool> {
protected:
    std::unique_ptr<WaitingQueue> m_queue = GetParam() ? makeFairQueue() : makeFifoQueue();
};

TEST_P(EachQueueTest, RefusesMoreThanTheOrganisationMayLetWait)
{
    Organisation organisation;
    organisation.name = OrganisationName("a");
    organisation.maxQueuedJobs = 2;
    m_queue->setOrganisations({ &organisation, 1 });
    ASSERT_TRUE(m_queue->push(makeWaiting("a", "1")).ok());
    ASSERT_TRUE(m_queue->push(makeWaiting("a", "2")).ok());
    EXPECT_EQ(errorKindOf(m_queue->push(makeWaiting("a", "3"))), ErrorKind::QueueFull);
    EXPECT_TRUE(m_queue->push(makeWaiting("b", "1")).ok());
    ASSERT_TRUE(m_queue->remove(makeWaiting("a", "1").request.attempt));
    EXPECT_TRUE(m_queue->push(makeWaiting("a", "3")).ok());
}

TEST_P(EachQueueTest, RemovesWhatIsCancelled)
{
    for (int job = 0; job < 10; ++job)
        ASSERT_TRUE(m_queue->push(makeWaiting("a", absl::StrCat(job))).ok());
    for (int job = 0; job < 10; job += 2)
        EXPECT_TRUE(m_queue->remove(makeWaiting("a", absl::StrCat(job)).request.attempt));
    EXPECT_FALSE(m_queue->remove(makeWaiting("a", "0").request.attempt));
    EXPECT_EQ(orderOf(*m_queue), (std::vector<std::string> { "1", "3", "5", "7", "9" }));
    EXPECT_EQ(m_queue->shapes().size(), 1U);
}

TEST_P(EachQueueTest, TakesAnAttemptOnce)
{
    ASSERT_TRUE(m_queue->push(makeWaiting("a", "1")).ok());
    EXPECT_EQ(errorKindOf(m_queue->push(makeWaiting("a", "1"))), ErrorKind::KeyReused);
    EXPECT_EQ(m_queue->size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Queues, EachQueueTest, testing::Bool());

} // namespace
} // namespace mangohall
