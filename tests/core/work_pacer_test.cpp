#include "core/work_pacer_base.h"

#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr absl::Duration shortestPause = absl::Milliseconds(10);
const absl::Time start = absl::FromUnixSeconds(1700000000);

// The total time of pieces of the given duration that begin as soon as they may, over ten seconds.
absl::Duration totalPieceTime(absl::Duration pieceDuration)
{
    WorkPacer pacer(shortestPause);
    absl::Duration spent;
    absl::Time now = start;
    while (now < start + absl::Seconds(10)) {
        pacer.recordWork(now, now + pieceDuration);
        spent += pieceDuration;
        now = std::max(now + pieceDuration, pacer.mayBeginAt());
    }
    return spent;
}

// Guards against the RECLAIM incident: scheduling passes that took longer than estimated used up the owner's time.
TEST(WorkPacer, LimitsWorkToItsShareForAnyPieceDuration)
{
    for (const int milliseconds : { 1, 5, 30, 200, 1000 }) {
        const absl::Duration spent = totalPieceTime(absl::Milliseconds(milliseconds));
        EXPECT_LE(spent, absl::Seconds(3.1)) << milliseconds << " ms each";
    }
}

TEST(WorkPacer, AllowsABurstOfPiecesAfterIdleTime)
{
    WorkPacer pacer(shortestPause);
    absl::Time now = start;
    for (int piece = 0; piece < 4; ++piece) {
        pacer.recordWork(now, now + absl::Milliseconds(30));
        EXPECT_EQ(pacer.mayBeginAt(), now + absl::Milliseconds(40));
        now = pacer.mayBeginAt();
    }
    pacer.recordWork(now, now + absl::Milliseconds(30));
    EXPECT_GT(pacer.mayBeginAt(), now + absl::Milliseconds(40));
}

TEST(WorkPacer, PausesBetweenShortPieces)
{
    WorkPacer pacer(shortestPause);
    EXPECT_EQ(pacer.mayBeginAt(), absl::InfinitePast());
    pacer.recordWork(start, start);
    EXPECT_EQ(pacer.mayBeginAt(), start + absl::Milliseconds(10));
}

} // namespace
} // namespace mangohall
