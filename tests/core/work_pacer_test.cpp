#include "core/work_pacer_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration shortestPause = absl::Milliseconds(10);
const absl::Time start = absl::FromUnixSeconds(1700000000);

// How much of ten seconds goes to pieces that begin as soon as they may and take so long each.
absl::Duration timeInPieces(absl::Duration each)
{
    WorkPacer pacer(shortestPause);
    absl::Duration spent;
    absl::Time now = start;
    while (now < start + absl::Seconds(10)) {
        pacer.note(now, now + each);
        spent += each;
        now = std::max(now + each, pacer.mayBeginAt());
    }
    return spent;
}

// Guards against the RECLAIM incident: choices that took longer than they were estimated to used up the owner's time.
TEST(WorkPacer, KeepsWorkToItsShareWhateverItTakes)
{
    for (const int milliseconds : { 1, 5, 30, 200, 1000 }) {
        const absl::Duration spent = timeInPieces(absl::Milliseconds(milliseconds));
        EXPECT_LE(spent, absl::Seconds(3.1)) << milliseconds << " ms each";
    }
}

TEST(WorkPacer, LetsAFewPiecesFollowOneAnotherAfterAQuietTime)
{
    WorkPacer pacer(shortestPause);
    absl::Time now = start;
    for (int piece = 0; piece < 4; ++piece) {
        pacer.note(now, now + absl::Milliseconds(30));
        EXPECT_EQ(pacer.mayBeginAt(), now + absl::Milliseconds(40));
        now = pacer.mayBeginAt();
    }
    pacer.note(now, now + absl::Milliseconds(30));
    EXPECT_GT(pacer.mayBeginAt(), now + absl::Milliseconds(40));
}

TEST(WorkPacer, KeepsCheapPiecesApart)
{
    WorkPacer pacer(shortestPause);
    EXPECT_EQ(pacer.mayBeginAt(), absl::InfinitePast());
    pacer.note(start, start);
    EXPECT_EQ(pacer.mayBeginAt(), start + absl::Milliseconds(10));
}

} // namespace
} // namespace mangohall
