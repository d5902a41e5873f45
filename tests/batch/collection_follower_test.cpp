#include "batch/store/collection_follower_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr absl::Duration pause = absl::Milliseconds(250);

class CollectionFollowerTest : public testing::Test {
protected:
    // The number of calls that the follower makes now.
    std::size_t callsNow()
    {
        m_follower.advance(m_outbox, m_now);
        return m_outbox.take().size();
    }

    static StoreReply replyOf(Revision revision, int changes)
    {
        StoreReply reply;
        reply.revision = revision;
        reply.records.resize(static_cast<std::size_t>(changes));
        return reply;
    }

    Outbox m_outbox;
    CollectionFollower m_follower { Collection::Workers, absl::Seconds(2), pause };
    absl::Time m_now = absl::FromUnixSeconds(1700000000);
};

// Guards against one call for each change. Load: dozens of workers renew their entries each second.
TEST_F(CollectionFollowerTest, PausesAfterChangesSoThatMoreComeInOneReply)
{
    EXPECT_EQ(callsNow(), 1U);
    m_follower.handleReply(replyOf(10, 3), m_now);
    // The watch after the full read begins at once.
    EXPECT_EQ(callsNow(), 1U);
    m_follower.handleReply(replyOf(11, 1), m_now);
    EXPECT_EQ(callsNow(), 0U);
    EXPECT_EQ(m_follower.nextDue(), m_now + pause);
    m_now += pause;
    EXPECT_EQ(callsNow(), 1U);
}

TEST_F(CollectionFollowerTest, WatchesAgainAtOnceAfterAWatchWithoutChanges)
{
    callsNow();
    m_follower.handleReply(replyOf(10, 3), m_now);
    callsNow();
    m_now += absl::Seconds(2);
    m_follower.handleReply(replyOf(10, 0), m_now);
    EXPECT_EQ(callsNow(), 1U);
}

// Guards against a collection that exceeds the memory of the node that reads it.
TEST_F(CollectionFollowerTest, ReadsPagesOneByOneAndWatchesFromTheFirst)
{
    CollectionFollower follower(
        Collection::Jobs, absl::Seconds(2), absl::ZeroDuration(), CollectionFollower::ReadMode::Pages);
    follower.advance(m_outbox, m_now);
    const Effects first = m_outbox.take();
    EXPECT_EQ(std::get<ReadPage>(std::get<StoreEffect>(first.front()).request).begin, "");
    StoreReply page = replyOf(10, 3);
    page.nextPage = "x";
    CollectionUpdate update = follower.handleReply(page, m_now);
    EXPECT_FALSE(update.isComplete);
    EXPECT_EQ(update.records.size(), 3U);
    // A page that fails is read again.
    for (int attempt = 0; attempt < 2; ++attempt) {
        m_now += absl::Seconds(1);
        follower.advance(m_outbox, m_now);
        const Effects next = m_outbox.take();
        EXPECT_EQ(std::get<ReadPage>(std::get<StoreEffect>(next.front()).request).begin, "x");
        StoreReply reply = replyOf(12, 1);
        if (attempt == 0)
            reply.status = absl::UnavailableError("a fault of the test");
        update = follower.handleReply(reply, m_now);
    }
    EXPECT_TRUE(update.isComplete);
    follower.advance(m_outbox, m_now);
    const Effects watch = m_outbox.take();
    EXPECT_EQ(std::get<WatchCollection>(std::get<StoreEffect>(watch.front()).request).after, 10);
}

} // namespace
} // namespace mangohall::batch
