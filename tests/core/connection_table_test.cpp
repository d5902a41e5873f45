// The decisions on connections without a complete request, without HTTP.
#include "core/connection_table_base.h"

#include <vector>

#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

class FakeSocket : public ConnectionSocket {
public:
    void shutDown() override { ++m_shutDowns; }
    int shutDowns() const { return m_shutDowns; }

private:
    int m_shutDowns = 0;
};

class FakeObserver : public ConnectionObserver {
public:
    void onConnectionDisplaced(std::uint64_t total) override { m_total = total; }
    std::uint64_t total() const { return m_total; }

private:
    std::uint64_t m_total = 0;
};

class ConnectionTableTest : public testing::Test {
protected:
    ManualClock m_clock;
    FakeObserver m_observer;
    ConnectionTable m_table { 3, m_clock, &m_observer };
    FakeSocket m_sockets[4];
};

// Guards against clients that take every connection without sending a request.
TEST_F(ConnectionTableTest, DisplacesTheOneThatHasAwaitedDataLongest)
{
    const ConnectionId first = m_table.open(m_sockets[0]);
    m_clock.advance(absl::Seconds(1));
    const ConnectionId second = m_table.open(m_sockets[1]);
    EXPECT_FALSE(m_table.isFull());
    m_clock.advance(absl::Seconds(1));
    m_table.markOccupied(first);
    m_table.markAwaiting(first);
    m_table.open(m_sockets[2]);
    EXPECT_TRUE(m_table.isFull());
    EXPECT_EQ(m_table.longestSilentSince(), m_clock.now() - absl::Seconds(1));
    m_table.displaceLongestSilent();
    EXPECT_EQ(m_sockets[1].shutDowns(), 1);
    EXPECT_FALSE(m_table.isFull());
    EXPECT_EQ(m_table.size(), 3U);
    m_table.close(second);
    EXPECT_EQ(m_table.size(), 2U);
    m_table.open(m_sockets[3]);
    m_table.displaceLongestSilent();
    EXPECT_EQ(m_sockets[0].shutDowns(), 1);
    EXPECT_EQ(m_table.displacedCount(), 2U);
    EXPECT_EQ(m_observer.total(), 2U);
}

// Guards against closing the connection of a request that is being received or handled, and of the caller that has just
// come.
TEST_F(ConnectionTableTest, KeepsRequestsAndTheLastConnection)
{
    m_table.markOccupied(m_table.open(m_sockets[0]));
    m_table.markOccupied(m_table.open(m_sockets[1]));
    m_table.open(m_sockets[2]);
    EXPECT_TRUE(m_table.isFull());
    EXPECT_EQ(m_table.longestSilentSince(), absl::InfiniteFuture());
    m_table.displaceLongestSilent();
    for (const FakeSocket& socket : m_sockets)
        EXPECT_EQ(socket.shutDowns(), 0);
    EXPECT_FALSE(m_table.isOverfull());
    m_table.markOccupied(m_table.open(m_sockets[3]));
    EXPECT_TRUE(m_table.isOverfull());
}

// Guards against a count of connections that are about to end, and that goes wrong with what they still do.
TEST_F(ConnectionTableTest, CountsAConnectionThatWasShutDownOnce)
{
    const ConnectionId first = m_table.open(m_sockets[0]);
    m_table.open(m_sockets[1]);
    m_table.open(m_sockets[2]);
    m_table.markShutDown(first);
    m_table.markShutDown(first);
    m_table.markAwaiting(first);
    EXPECT_FALSE(m_table.isFull());
    m_table.close(first);
    m_table.close(first);
    EXPECT_FALSE(m_table.isFull());
    m_table.open(m_sockets[3]);
    EXPECT_TRUE(m_table.isFull());
}

} // namespace
} // namespace mangohall
