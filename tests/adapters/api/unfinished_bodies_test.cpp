// Which unfinished bodies are kept, evicted, refused and abandoned, and that the bytes of each end are given back.
#include "adapters/api/unfinished_bodies_base.h"

#include <array>
#include <atomic>
#include <thread>
#include <vector>

#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

class FakeConnection : public BodyConnection {
public:
    void closeBodyConnection() override { ++m_closed; }
    int closed() const { return m_closed; }

private:
    std::atomic<int> m_closed { 0 };
};

class FakeListener : public LimitListener {
public:
    void onLimit(ClientLimit limit) override { ++m_counts[static_cast<std::size_t>(limit)]; }
    int count(ClientLimit limit) const { return m_counts[static_cast<std::size_t>(limit)]; }

private:
    std::array<std::atomic<int>, clientLimitCount> m_counts {};
};

class UnfinishedBodiesTest : public testing::Test {
protected:
    ManualClock m_clock;
    FakeListener m_listener;
    UnfinishedBodies m_bodies { { 4096, 2048, absl::Seconds(30) }, m_clock, m_listener };
    FakeConnection m_first;
    FakeConnection m_second;
    FakeConnection m_third;
};

TEST_F(UnfinishedBodiesTest, ReturnsABodyWholeAndReleasesItsBytes)
{
    const BodyId id = m_bodies.begin(m_first);
    EXPECT_EQ(m_bodies.append(id, "ab"), BodyVerdict::Held);
    EXPECT_EQ(m_bodies.append(id, std::string(2046, 'c')), BodyVerdict::Held);
    EXPECT_EQ(m_bodies.heldBytes(), 2048U);
    EXPECT_EQ(m_bodies.finish(id), "ab" + std::string(2046, 'c'));
    EXPECT_EQ(m_bodies.heldBytes(), 0U);
    EXPECT_EQ(m_first.closed(), 0);
}

TEST_F(UnfinishedBodiesTest, EvictsTheBodyThatHasGoneLongestWithoutData)
{
    const BodyId first = m_bodies.begin(m_first);
    const BodyId second = m_bodies.begin(m_second);
    m_bodies.append(first, std::string(1024, 'a'));
    m_bodies.append(second, std::string(2048, 'b'));
    m_bodies.append(first, std::string(1024, 'a'));
    const BodyId third = m_bodies.begin(m_third);
    EXPECT_EQ(m_bodies.append(third, "c"), BodyVerdict::Held);
    EXPECT_EQ(m_second.closed(), 1);
    EXPECT_EQ(m_first.closed(), 0);
    EXPECT_EQ(m_listener.count(ClientLimit::BodyEvicted), 1);
    EXPECT_EQ(m_bodies.append(second, "b"), BodyVerdict::Dropped);
    EXPECT_FALSE(m_bodies.finish(second).has_value());
    EXPECT_EQ(m_bodies.finish(first)->size(), 2048U);
    m_bodies.end(third);
    EXPECT_EQ(m_bodies.heldBytes(), 0U);
}

// A body that holds no bytes frees nothing, so its connection must not be closed in vain.
TEST_F(UnfinishedBodiesTest, RefusesABodyIfNoOtherOneHoldsBytes)
{
    UnfinishedBodies bodies({ 1024, 2048, absl::Seconds(30) }, m_clock, m_listener);
    bodies.begin(m_first);
    const BodyId id = bodies.begin(m_second);
    EXPECT_EQ(bodies.append(id, std::string(1000, 'a')), BodyVerdict::Held);
    EXPECT_EQ(bodies.append(id, std::string(1000, 'a')), BodyVerdict::Refused);
    EXPECT_EQ(bodies.heldBytes(), 0U);
    EXPECT_EQ(bodies.append(id, "a"), BodyVerdict::Refused);
    EXPECT_EQ(m_listener.count(ClientLimit::BodyRefused), 1);
    EXPECT_EQ(m_first.closed() + m_second.closed(), 0);
    // A refused body is bounded like any other.
    EXPECT_EQ(bodies.append(id, std::string(1000, 'a')), BodyVerdict::Dropped);
}

TEST_F(UnfinishedBodiesTest, DropsABodyOverTheSizeLimit)
{
    const BodyId id = m_bodies.begin(m_first);
    EXPECT_EQ(m_bodies.append(id, std::string(2048, 'a')), BodyVerdict::Held);
    EXPECT_EQ(m_bodies.append(id, "a"), BodyVerdict::Dropped);
    EXPECT_EQ(m_listener.count(ClientLimit::BodyTooLarge), 1);
    EXPECT_EQ(m_bodies.heldBytes(), 0U);
}

TEST_F(UnfinishedBodiesTest, AbandonsBodiesOverTheTimeLimitWhetherSilentOrNot)
{
    const BodyId silent = m_bodies.begin(m_first);
    const BodyId slow = m_bodies.begin(m_second);
    m_bodies.append(silent, "a");
    m_clock.advance(absl::Seconds(30));
    EXPECT_EQ(m_bodies.append(slow, "a"), BodyVerdict::Held);
    m_bodies.abandonLate();
    EXPECT_EQ(m_first.closed(), 0);
    m_clock.advance(absl::Milliseconds(1));
    EXPECT_EQ(m_bodies.append(slow, "a"), BodyVerdict::Dropped);
    m_bodies.abandonLate();
    EXPECT_EQ(m_first.closed(), 1);
    EXPECT_EQ(m_second.closed(), 0);
    EXPECT_EQ(m_listener.count(ClientLimit::BodyAbandoned), 2);
    EXPECT_EQ(m_bodies.heldBytes(), 0U);
}

// Guards against bytes that are lost when bodies are evicted by one thread while another one adds to them.
TEST_F(UnfinishedBodiesTest, GivesAllBytesBackUnderConcurrentEvictions)
{
    std::array<FakeConnection, 4> connections;
    std::vector<std::thread> threads;
    threads.reserve(connections.size());
    for (FakeConnection& connection : connections) {
        threads.emplace_back([this, &connection] {
            for (int round = 0; round < 500; ++round) {
                const BodyId id = m_bodies.begin(connection);
                for (int piece = 0; piece < 4; ++piece)
                    m_bodies.append(id, std::string(500, 'a'));
                if (round % 2 == 0)
                    m_bodies.finish(id);
                else
                    m_bodies.end(id);
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(m_bodies.heldBytes(), 0U);
}

} // namespace
} // namespace mangohall
