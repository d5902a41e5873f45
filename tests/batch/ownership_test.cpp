#include "batch/owner/ownership_base.h"

#include "core/error_func.h"
#include "core/seeded_random_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

constexpr std::int64_t lease = 17;

class OwnershipTest : public testing::Test {
protected:
    // Lets the node learn that nobody is owner, get a lease and claim.
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

    // The request of the kind that is out; fails the test if there is none.
    template <typename Request> CallId findCall()
    {
        m_ownership.advance(m_outbox, m_now);
        for (Effect& effect : m_outbox.take())
            m_out.push_back(std::move(effect));
        for (auto effect = m_out.begin(); effect != m_out.end(); ++effect) {
            const auto* store = std::get_if<StoreEffect>(&*effect);
            if (store == nullptr || !std::holds_alternative<Request>(store->request))
                continue;
            const CallId call = store->call;
            m_out.erase(effect);
            return call;
        }
        ADD_FAILURE() << "no such request is out";
        return 0;
    }

    template <typename Request> OwnershipNews answer(const StoreReply& reply)
    {
        return m_ownership.takeReply(findCall<Request>(), reply, m_now);
    }

    Outbox m_outbox;
    std::vector<Effect> m_out;
    SeededRandom m_random { 1 };
    Ownership m_ownership { NodeName("n"), absl::ZeroDuration(), m_random };
    absl::Time m_now = absl::FromUnixSeconds(1700000000);
};

TEST_F(OwnershipTest, IsLostOnceTheLeaseMayHaveLapsed)
{
    becomeOwner();
    m_now += absl::Seconds(2);
    EXPECT_FALSE(m_ownership.checkLease(m_now).isLost);
    m_now += absl::Milliseconds(60);
    EXPECT_TRUE(m_ownership.checkLease(m_now).isLost);
    EXPECT_FALSE(m_ownership.isOwner());
}

// A renewal that reaches the store late would keep the lost lease alive, and every other node waiting for its end.
TEST_F(OwnershipTest, EndsTheLeaseOfAnOwnershipThatItHasLost)
{
    becomeOwner();
    m_now += absl::Milliseconds(700);
    const CallId renewal = findCall<RenewLease>();
    m_now += absl::Seconds(2);
    EXPECT_TRUE(m_ownership.checkLease(m_now).isLost);
    StoreReply silence;
    silence.status = makeError(ErrorKind::TimedOut, "nothing came");
    m_ownership.takeReply(renewal, silence, m_now);
    findCall<EndLease>();
}

} // namespace
} // namespace mangohall::batch
