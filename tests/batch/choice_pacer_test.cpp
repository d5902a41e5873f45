#include "batch/owner/choice_pacer_base.h"

#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);

// How much of ten seconds goes to choices that begin as soon as they may and take so long each.
absl::Duration timeInChoices(absl::Duration each)
{
    ChoicePacer pacer;
    absl::Duration spent;
    absl::Time now = start;
    while (now < start + absl::Seconds(10)) {
        pacer.noteChoice(now, now + each);
        spent += each;
        now = std::max(now + each, pacer.mayBeginAt());
    }
    return spent;
}

// Guards against the RECLAIM incident: choices that took longer than they were estimated to used up the owner's time.
TEST(ChoicePacer, KeepsChoicesToTheirShareWhateverTheyTake)
{
    for (const int milliseconds : { 1, 5, 30, 200, 1000 }) {
        const absl::Duration spent = timeInChoices(absl::Milliseconds(milliseconds));
        EXPECT_LE(spent, absl::Seconds(3.1)) << milliseconds << " ms each";
    }
}

TEST(ChoicePacer, LetsAFewChoicesFollowOneAnotherAfterAQuietTime)
{
    ChoicePacer pacer;
    absl::Time now = start;
    for (int choice = 0; choice < 4; ++choice) {
        pacer.noteChoice(now, now + absl::Milliseconds(30));
        EXPECT_EQ(pacer.mayBeginAt(), now + absl::Milliseconds(40));
        now = pacer.mayBeginAt();
    }
    pacer.noteChoice(now, now + absl::Milliseconds(30));
    EXPECT_GT(pacer.mayBeginAt(), now + absl::Milliseconds(40));
}

TEST(ChoicePacer, ServesEventsThatComeTogetherByOneChoice)
{
    ChoicePacer pacer;
    EXPECT_EQ(pacer.mayBeginAt(), absl::InfinitePast());
    pacer.noteChoice(start, start);
    EXPECT_EQ(pacer.mayBeginAt(), start + absl::Milliseconds(10));
}

} // namespace
} // namespace mangohall::batch
