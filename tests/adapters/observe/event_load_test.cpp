#include "adapters/observe/event_load_base.h"

#include "batch/node/node_base.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time now = absl::FromUnixSeconds(1700000000);

EventTiming timingOf(PartIndex part, const Event& event, absl::Duration waitTime, absl::Duration decisionTime)
{
    EventTiming timing;
    timing.part = part;
    timing.kind = event.index();
    timing.waitTime = waitTime;
    timing.decisionTime = decisionTime;
    return timing;
}

TEST(EventLoad, DoesNotReportAFastEvent)
{
    EventLoad load;
    EXPECT_FALSE(
        load.add(timingOf(ownerPart, WakeEvent(), absl::Milliseconds(20), absl::Milliseconds(20)), now).has_value());
}

// A slow event is reported with its own durations, and later slow events only once the report interval has passed.
TEST(EventLoad, LimitsTheRateOfSlowEventReports)
{
    EventLoad load;
    const EventTiming slow = timingOf(ownerPart, WorkerEvent(), absl::Milliseconds(400), absl::Milliseconds(3));
    const absl::optional<SlowEventReport> first = load.add(slow, now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->part, "owner");
    EXPECT_EQ(first->eventKind, "worker");
    EXPECT_EQ(first->timing.waitTime, absl::Milliseconds(400));
    EXPECT_EQ(first->slowEvents, 1U);
    EXPECT_FALSE(load.add(slow, now + absl::Milliseconds(50)));
    // Parts of another role are reported independently.
    EXPECT_TRUE(load.add(timingOf(firstCallerPart + 1, WakeEvent(), absl::Seconds(1), absl::ZeroDuration()), now));
    const absl::optional<SlowEventReport> next = load.add(slow, now + absl::Milliseconds(250));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->slowEvents, 2U);
}

TEST(EventLoad, CountsEveryEventByPartAndKind)
{
    EventLoad load;
    load.add(timingOf(ownerPart, StoreEvent(), absl::Milliseconds(1), absl::Milliseconds(2)), now);
    load.add(timingOf(ownerPart, StoreEvent(), absl::Milliseconds(1), absl::Milliseconds(2)), now);
    std::string text;
    load.appendTo(text);
    EXPECT_NE(text.find("mangohall_event_wait_seconds_count{part=\"owner\",event=\"store\"} 2\n"), std::string::npos);
    EXPECT_NE(
        text.find("mangohall_event_decision_seconds_sum{part=\"owner\",event=\"store\"} 0.004\n"), std::string::npos);
    EXPECT_EQ(text.find("part=\"desk\""), std::string::npos);
}

} // namespace
} // namespace mangohall::batch
