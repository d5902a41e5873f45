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

} // namespace
} // namespace mangohall::batch
