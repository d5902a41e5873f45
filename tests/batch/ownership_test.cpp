#include "batch/owner/ownership_base.h"

#include "core/error_func.h"
#include "core/seeded_random_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr std::int64_t lease = 17;

class OwnershipTest : public testing::Test {
protected:
    // Lets the node read that there is no owner, get a lease and claim the ownership.
    void becomeOwner()
    {
        answer<ReadCollection>({});
        m_now += absl::Milliseconds(200);
        StoreReply granted;
        granted.lease = lease;
        answer<GrantLease>(granted);
        StoreReply claimed;
        claimed.revision = 5;
        EXPECT_TRUE(answer<CommitRecords>(claimed).isTaken);
    }

    // The call of the oldest pending request of the type; fails the test if there is none.
    template <typename Request> CallId findCall()
    {
        m_ownership.advance(m_outbox, m_now);
        for (Effect& effect : m_outbox.take())
            m_pending.push_back(std::move(effect));
        for (auto effect = m_pending.begin(); effect != m_pending.end(); ++effect) {
            const auto* store = std::get_if<StoreEffect>(&*effect);
            if (store == nullptr || !std::holds_alternative<Request>(store->request))
                continue;
            const CallId call = store->call;
            m_pending.erase(effect);
            return call;
        }
        ADD_FAILURE() << "no such request is pending";
        return 0;
    }

    template <typename Request> OwnershipUpdate answer(const StoreReply& reply)
    {
        return m_ownership.handleReply(findCall<Request>(), reply, m_now);
    }

    Outbox m_outbox;
    std::vector<Effect> m_pending;
    SeededRandom m_random { 1 };
    Ownership m_ownership { NodeName("n"), absl::ZeroDuration(), 1, m_random };
    absl::Time m_now = absl::FromUnixSeconds(1700000000);
};

// Guards against LOST: after an outage of the store a node of another region became the owner by chance, whose calls to
// the store and to most workers crossed the narrow link between the regions.
TEST_F(OwnershipTest, IsClaimedLaterTheLongerTheStoreTakesToGrantTheLease)
{
    constexpr absl::Duration grantTime = absl::Milliseconds(22);
    answer<ReadCollection>({});
    m_now += absl::Milliseconds(200);
    const CallId grant = findCall<GrantLease>();
    m_now += grantTime;
    StoreReply granted;
    granted.lease = lease;
    m_ownership.handleReply(grant, granted, m_now);
    EXPECT_EQ(m_ownership.nextDue(), m_now + grantTime * 10);
    m_now += grantTime * 10;
    EXPECT_NE(findCall<CommitRecords>(), 0);
}

TEST_F(OwnershipTest, IsLostOnceTheLeaseMayHaveLapsed)
{
    becomeOwner();
    m_now += absl::Seconds(2);
    EXPECT_FALSE(m_ownership.checkLease(m_now).isLost);
    m_now += absl::Milliseconds(60);
    EXPECT_TRUE(m_ownership.checkLease(m_now).isLost);
    EXPECT_FALSE(m_ownership.isOwner());
}

// Guards against a lost lease that a late renewal keeps alive in the store, while every other node waits for its end.
TEST_F(OwnershipTest, EndsTheLeaseOfAnOwnershipThatItHasLost)
{
    becomeOwner();
    m_now += absl::Milliseconds(700);
    const CallId renewal = findCall<RenewLease>();
    m_now += absl::Seconds(2);
    EXPECT_TRUE(m_ownership.checkLease(m_now).isLost);
    StoreReply noReply;
    noReply.status = makeError(ErrorKind::TimedOut, "nothing came");
    m_ownership.handleReply(renewal, noReply, m_now);
    findCall<RevokeLease>();
}

// Guards against a second owner beside the next one: a claim whose reply was lost is executed under a lease that the
// node no longer renews, and the record is found when the node already has another lease.
TEST_F(OwnershipTest, IsNotTakenByAClaimUnderAnEarlierLease)
{
    answer<ReadCollection>({});
    m_now += absl::Milliseconds(200);
    StoreReply granted;
    granted.lease = lease;
    answer<GrantLease>(granted);
    const CallId claim = findCall<CommitRecords>();
    m_now += absl::Milliseconds(1300);
    StoreReply noReply;
    noReply.status = makeError(ErrorKind::TimedOut, "nothing came");
    m_ownership.handleReply(claim, noReply, m_now);
    m_now += absl::Milliseconds(600);
    granted.lease = lease + 1;
    answer<GrantLease>(granted);
    StoreReply executed;
    executed.status = makeError(ErrorKind::RevisionConflict, "the holder exists");
    executed.records = { { { Collection::Holder, "" }, 5, HolderRecord { NodeName("n"), 1 } },
        { { Collection::Epoch, "" }, 5, EpochRecord { 1, NodeName("n") } } };
    EXPECT_FALSE(answer<CommitRecords>(executed).isTaken);
    EXPECT_FALSE(m_ownership.isOwner());
}

// Guards against an owner that goes on renewing the leases of workers although the store has ended its ownership.
TEST_F(OwnershipTest, IsLostOnceTheStoreDeletesTheHolder)
{
    becomeOwner();
    // The watch of before the claim is abandoned.
    findCall<WatchCollection>();
    StoreReply deleted;
    deleted.revision = 6;
    deleted.records = { { { Collection::Holder, "" }, 6, std::monostate() } };
    EXPECT_TRUE(answer<WatchCollection>(deleted).isLost);
    EXPECT_FALSE(m_ownership.isOwner());
}

} // namespace
} // namespace mangohall::batch
