#include "adapters/runtime/node_runtime_base.h"

#include <algorithm>

#include "core/seeded_random_base.h"
#include "fakes/fake_node_base.h"
#include "fakes/fake_ports_base.h"
#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

constexpr std::size_t partCount = 3;
const NodeName selfName("scheduler-1");

Event callerEvent(CallerId caller)
{
    CallerEvent event;
    event.caller = caller;
    return event;
}

Effects noEffects(PartIndex, const Event&)
{
    return {};
}

// Returns the effects for a caller event of part 1 and no effects for any other event.
FakeNode::Handler effectsForCallerEvent(const Effects& effects)
{
    return [effects](PartIndex part, const Event& event) {
        return part == 1 && std::holds_alternative<CallerEvent>(event) ? effects : Effects();
    };
}

// A started runtime with a fake node and fake ports. Every part has handled its first wake-up.
class RuntimeHarness {
public:
    explicit RuntimeHarness(FakeNode::Handler handler)
        : node(partCount, std::move(handler))
        , runtime(node, clock, { store, vmList, worker, peer, observer, &caller }, { selfName, 4 })
    {
        runtime.start();
        node.waitForEvents(partCount);
    }

    // Waits until `count` events besides the first wake-ups have been handled, and returns the last of them.
    HandledEvent waitForLast(std::size_t count) { return node.waitForEvents(partCount + count).back(); }

    ManualClock clock;
    FakeStorePort store;
    FakeVmListPort vmList;
    FakeWorkerPort worker;
    FakePeerPort peer;
    FakeObserverPort observer;
    FakeCallerPort caller;
    FakeNode node;
    NodeRuntime runtime;
};

TEST(NodeRuntime, HandlesEachPartInArrivalOrder)
{
    RuntimeHarness harness(noEffects);
    constexpr CallerId count = 3000;
    for (CallerId i = 0; i < count; ++i)
        harness.runtime.post(callerEvent(i));
    std::vector<CallerId> lastOfPart(partCount, 0);
    for (const HandledEvent& handled : harness.node.waitForEvents(partCount + count)) {
        const auto* event = std::get_if<CallerEvent>(&handled.event);
        if (event == nullptr)
            continue;
        EXPECT_EQ(handled.part, event->caller % partCount);
        EXPECT_GE(event->caller, lastOfPart[handled.part]);
        lastOfPart[handled.part] = event->caller;
    }
    EXPECT_EQ(harness.runtime.counters().events, partCount + count);
}

TEST(NodeRuntime, HandlesOnePartInOneThreadAtATime)
{
    std::vector<std::atomic<int>> activeHandlers(partCount);
    std::atomic<bool> hasOverlap { false };
    RuntimeHarness harness([&](PartIndex part, const Event&) {
        if (activeHandlers[part].fetch_add(1) != 0)
            hasOverlap = true;
        activeHandlers[part].fetch_sub(1);
        return Effects();
    });
    constexpr CallerId count = 3000;
    for (CallerId i = 0; i < count; ++i)
        harness.runtime.post(callerEvent(i));
    harness.node.waitForEvents(partCount + count);
    EXPECT_FALSE(hasOverlap);
}

TEST(NodeRuntime, WakesAPartAtItsLastSetTime)
{
    ManualClock reference;
    const absl::Time early = reference.now() + absl::Hours(1);
    const absl::Time late = reference.now() + absl::Hours(2);
    // The notification is handled only after both times have been set.
    const NotifyEffect notify { 1, CallerDisconnectedEvent() };
    RuntimeHarness harness(effectsForCallerEvent({ WakeAtEffect { early }, WakeAtEffect { late }, notify }));
    harness.runtime.post(callerEvent(1));
    harness.waitForLast(2);
    harness.clock.advance(absl::Hours(3));
    harness.runtime.recheckTimers();
    const HandledEvent handled = harness.waitForLast(3);
    EXPECT_EQ(handled.part, 1U);
    EXPECT_TRUE(std::holds_alternative<WakeEvent>(handled.event));
    EXPECT_EQ(handled.now, harness.clock.now());
    // The earlier time was replaced, so no second wake-up follows before the next event.
    harness.runtime.post(callerEvent(0));
    EXPECT_TRUE(std::holds_alternative<CallerEvent>(harness.waitForLast(4).event));
}

TEST(NodeRuntime, PostsCompletionsToThePartThatReturnedTheEffect)
{
    StoreEffect store;
    store.call = 11;
    WorkerEffect worker;
    worker.worker = WorkerName("w1");
    worker.call = 12;
    const ReadVmListEffect vmList { DataCentreName("ct-a") };
    RuntimeHarness harness(effectsForCallerEvent({ store, worker, vmList, ReadVmListEffect() }));
    harness.runtime.post(callerEvent(1));
    const std::vector<HandledEvent> handled = harness.node.waitForEvents(partCount + 5);
    const auto first = handled.begin() + partCount + 1;
    EXPECT_TRUE(std::all_of(first, handled.end(), [](const HandledEvent& one) { return one.part == 1; }));
    EXPECT_EQ(std::get<StoreEvent>(first[0].event).call, 11U);
    EXPECT_EQ(std::get<StoreEvent>(first[0].event).reply.revision, 7);
    EXPECT_EQ(std::get<WorkerEvent>(first[1].event).call, 12U);
    EXPECT_EQ(std::get<WorkerEvent>(first[1].event).report.worker, WorkerName("w1"));
    EXPECT_EQ(std::get<VmListEvent>(first[2].event).entries.at(0).dataCentre, DataCentreName("ct-a"));
    EXPECT_FALSE(std::get<VmListEvent>(first[3].event).status.ok());
}

TEST(NodeRuntime, HandlesMessagesToItselfLocally)
{
    PeerMessage message;
    message.from = selfName;
    const SendEffect toSelf { selfName, "127.0.0.1:1", message };
    const SendEffect toPeer { NodeName("scheduler-2"), "127.0.0.1:2", message };
    RuntimeHarness harness(effectsForCallerEvent({ toPeer, toSelf }));
    harness.runtime.post(callerEvent(1));
    const HandledEvent handled = harness.waitForLast(2);
    EXPECT_EQ(handled.part, partCount - 1);
    EXPECT_EQ(std::get<PeerEvent>(handled.event).message.from, selfName);
    EXPECT_EQ(harness.peer.sentTo.items(), std::vector<std::string> { "127.0.0.1:2" });
}

TEST(NodeRuntime, AnswersCallersObservesAndNotifiesParts)
{
    ObservationEffect observation;
    observation.subject = "job";
    const NotifyEffect notify { 0, CallerDisconnectedEvent { 5 } };
    RuntimeHarness harness(effectsForCallerEvent({ AnswerEffect { 4, ErrorAnswer() }, observation, notify }));
    harness.runtime.post(callerEvent(1));
    const HandledEvent handled = harness.waitForLast(2);
    EXPECT_EQ(handled.part, 0U);
    EXPECT_EQ(std::get<CallerDisconnectedEvent>(handled.event).caller, 5U);
    EXPECT_EQ(harness.caller.answered.items(), std::vector<CallerId> { 4 });
    EXPECT_EQ(harness.observer.observed.items().at(0).subject, "job");
}

TEST(NodeRuntime, WaitsUntilTheNodeHasDrained)
{
    RuntimeHarness harness([](PartIndex part, const Event& event) {
        const bool isDrain = std::holds_alternative<DrainEvent>(event);
        EXPECT_TRUE(!isDrain || part == 0);
        return isDrain ? Effects { DrainedEffect() } : Effects();
    });
    EXPECT_FALSE(harness.runtime.waitUntilDrained(absl::ZeroDuration()));
    harness.runtime.drain();
    EXPECT_TRUE(harness.runtime.waitUntilDrained(absl::InfiniteDuration()));
    harness.runtime.stop();
    harness.runtime.stop();
}

TEST(SeededRandom, GivesTheSameNumbersForTheSameSeed)
{
    SeededRandom first(42);
    SeededRandom second(42);
    for (int i = 0; i < 100; ++i) {
        const double number = first.uniform();
        EXPECT_EQ(number, second.uniform());
        EXPECT_GE(number, 0.0);
        EXPECT_LT(number, 1.0);
    }
}

} // namespace
} // namespace mangohall
