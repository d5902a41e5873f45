#include "standins/store_state_base.h"

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr std::size_t historyLimit = 3;
const absl::Time start = absl::FromUnixSeconds(1'000'000);

StoreTransaction put(absl::string_view key, Revision expected, std::int64_t lease = 0)
{
    StoreTransaction transaction;
    transaction.key = std::string(key);
    transaction.expectedRevision = expected;
    transaction.value = "v";
    transaction.lease = lease;
    return transaction;
}

StoreTransaction deletion(absl::string_view key, Revision expected)
{
    StoreTransaction transaction = put(key, expected);
    transaction.isDeletion = true;
    return transaction;
}

class StoreStateTest : public testing::Test {
protected:
    StoredKey storedKey(absl::string_view key) const { return m_state.range({ std::string(key), "" }).at(0); }

    StoreState m_state { historyLimit };
    const KeyRange m_all { "a", "z" };
};

TEST_F(StoreStateTest, CommitsOnlyAtTheExpectedRevision)
{
    EXPECT_TRUE(*m_state.commit(put("k", 0)));
    const Revision created = m_state.revision();
    EXPECT_FALSE(*m_state.commit(put("k", 0)));
    EXPECT_EQ(m_state.revision(), created);
    EXPECT_TRUE(*m_state.commit(put("k", created)));
    EXPECT_EQ(storedKey("k").createRevision, created);
    EXPECT_EQ(storedKey("k").version, 2);
}

TEST_F(StoreStateTest, DeletesAtTheExpectedRevision)
{
    ASSERT_TRUE(*m_state.commit(put("k", 0)));
    EXPECT_FALSE(*m_state.commit(deletion("k", 1)));
    EXPECT_TRUE(*m_state.commit(deletion("k", m_state.revision())));
    EXPECT_TRUE(m_state.range(m_all).empty());
    // Deleting a key that does not exist changes nothing.
    const Revision before = m_state.revision();
    EXPECT_TRUE(*m_state.commit(deletion("k", 0)));
    EXPECT_EQ(m_state.revision(), before);
}

TEST_F(StoreStateTest, RefusesAValueThatIsTooLarge)
{
    StoreTransaction large = put("k", 0);
    large.value.assign((std::size_t { 1 } << 20U) + 1, 'x');
    EXPECT_EQ(errorKindOf(m_state.commit(large).status()), ErrorKind::InvalidValue);
}

TEST_F(StoreStateTest, DropsTheKeysOfALapsedLeaseInOneRevision)
{
    const StoredLease lease = m_state.grantLease(absl::Seconds(6), start);
    ASSERT_TRUE(*m_state.commit(put("a", 0, lease.id)));
    ASSERT_TRUE(*m_state.commit(put("b", 0, lease.id)));
    const Revision before = m_state.revision();
    EXPECT_FALSE(m_state.expireLeases(start + absl::Seconds(5)));
    ASSERT_TRUE(m_state.keepLeaseAlive(lease.id, start + absl::Seconds(5)).ok());
    EXPECT_EQ(m_state.nextExpiry(), start + absl::Seconds(11));
    EXPECT_FALSE(m_state.expireLeases(start + absl::Seconds(6)));
    EXPECT_TRUE(m_state.expireLeases(start + absl::Seconds(11)));
    EXPECT_EQ(m_state.revision(), before + 1);
    EXPECT_EQ(m_state.changesFrom(before + 1, m_all)->size(), 2U);
    EXPECT_EQ(errorKindOf(m_state.keepLeaseAlive(lease.id, start).status()), ErrorKind::NotFound);
}

TEST_F(StoreStateTest, NeverRevivesALeaseWhoseTimeIsUp)
{
    const StoredLease lease = m_state.grantLease(absl::Seconds(6), start);
    const absl::Time late = start + absl::Seconds(6);
    EXPECT_EQ(errorKindOf(m_state.keepLeaseAlive(lease.id, late).status()), ErrorKind::NotFound);
}

TEST_F(StoreStateTest, KeepsAKeyThatWasWrittenWithoutItsLeaseSince)
{
    const StoredLease lease = m_state.grantLease(absl::Seconds(6), start);
    ASSERT_TRUE(*m_state.commit(put("a", 0, lease.id)));
    ASSERT_TRUE(*m_state.commit(put("a", m_state.revision())));
    EXPECT_TRUE(m_state.revokeLease(lease.id).ok());
    EXPECT_EQ(storedKey("a").lease, 0);
}

TEST_F(StoreStateTest, RefusesALeaseThatDoesNotExist)
{
    EXPECT_EQ(errorKindOf(m_state.commit(put("a", 0, 77)).status()), ErrorKind::NotFound);
}

TEST_F(StoreStateTest, ForgetsTheOldestChanges)
{
    for (const absl::string_view key : { "a", "b", "c", "d" })
        ASSERT_TRUE(*m_state.commit(put(key, 0)));
    // "a" was written at revision 2.
    EXPECT_EQ(errorKindOf(m_state.changesFrom(2, m_all).status()), ErrorKind::WatchExpired);
    EXPECT_EQ(m_state.changesFrom(3, m_all)->size(), 3U);
    EXPECT_EQ(m_state.changesFrom(3, { "c", "" })->size(), 1U);
    m_state.compact(4);
    EXPECT_EQ(errorKindOf(m_state.changesFrom(4, m_all).status()), ErrorKind::WatchExpired);
    EXPECT_EQ(m_state.changesFrom(5, m_all)->size(), 1U);
}

} // namespace
} // namespace mangohall
