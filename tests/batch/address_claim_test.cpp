#include "batch/worker/address_claim_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);

absl::Time after(int seconds)
{
    return start + absl::Seconds(seconds);
}

// A worker whose row was read at the start, and that has replied to a call sent a second later.
AddressClaim calledWorker()
{
    AddressClaim claim;
    claim.recordRow("10.0.0.1:1", 1000, start);
    claim.recordReply(after(1));
    return claim;
}

TEST(AddressClaim, IsTakenOverOnceARefusalAndAnotherWorkerAgree)
{
    AddressClaim claim = calledWorker();
    claim.recordRefusal(after(5));
    EXPECT_FALSE(claim.isTakenOver());
    claim.recordOtherWorker("10.0.0.1:1", after(4));
    EXPECT_TRUE(claim.isTakenOver());
}

TEST(AddressClaim, IsNotTakenOverByAWorkerAtAnotherAddress)
{
    AddressClaim claim = calledWorker();
    claim.recordRefusal(after(5));
    claim.recordOtherWorker("10.0.0.2:1", after(5));
    EXPECT_FALSE(claim.isTakenOver());
}

// Guards against taking a live worker for a replaced one: the other worker had the address before it.
TEST(AddressClaim, IsNotTakenOverByAnEarlierWorker)
{
    AddressClaim claim;
    claim.recordOtherWorker("10.0.0.1:1", start);
    claim.recordRow("10.0.0.1:1", 1000, after(1));
    claim.recordRefusal(after(2));
    EXPECT_FALSE(claim.isTakenOver());
    claim.recordOtherWorker("10.0.0.1:1", after(1));
    EXPECT_FALSE(claim.isTakenOver());
}

TEST(AddressClaim, IsRegainedByAReplyOrALaterStart)
{
    for (const bool isReply : { true, false }) {
        AddressClaim claim = calledWorker();
        claim.recordRefusal(after(5));
        claim.recordOtherWorker("10.0.0.1:1", after(5));
        ASSERT_TRUE(claim.isTakenOver());
        // The row of the replaced worker that the list still has is no sign of it.
        claim.recordRow("10.0.0.1:1", 1000, after(6));
        EXPECT_TRUE(claim.isTakenOver());
        if (isReply)
            claim.recordReply(after(6));
        else
            claim.recordRow("10.0.0.1:1", 2000, after(6));
        EXPECT_FALSE(claim.isTakenOver());
    }
}

// Guards against a second run of a task: what was sent to the other address may still be executed there.
TEST(AddressClaim, IsNeverTakenOverOfAWorkerThatWasCalledAtTwoAddresses)
{
    AddressClaim claim = calledWorker();
    claim.recordRow("10.0.0.9:1", 1000, after(2));
    claim.recordRefusal(after(5));
    claim.recordOtherWorker("10.0.0.9:1", after(5));
    EXPECT_FALSE(claim.isTakenOver());
}

} // namespace
} // namespace mangohall::batch
