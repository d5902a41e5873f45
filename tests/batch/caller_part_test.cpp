#include "batch/caller/caller_part_base.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "core/error_func.h"
#include "gtest/gtest.h"

namespace mangohall::batch {
namespace {

const absl::Time start = absl::FromUnixSeconds(1700000000);

class CallerPartTest : public testing::Test {
protected:
    CallerPartTest()
    {
        Manifest manifest;
        QueueSpec queue;
        queue.name = QueueName("batch");
        queue.host = "desk.example";
        queue.pathPrefix = "/batch/";
        queue.isPublic = true;
        manifest.queues = { queue };
        m_part.handle(RoutesEvent { std::make_shared<const RouteTable>(manifest), nullptr, start }, start);
    }

    // Sends a query and returns the effects.
    Effects query(CallerId caller, const std::string& path = "/batch/00000000000000a1")
    {
        CallerRequest request;
        request.host = "desk.example";
        request.path = path;
        request.deadline = start + absl::Seconds(3);
        return m_part.handle(CallerEvent { caller, request }, start);
    }

    static std::vector<CallId> readsIn(const Effects& effects)
    {
        std::vector<CallId> reads;
        for (const Effect& effect : effects) {
            if (const auto* store = std::get_if<StoreEffect>(&effect))
                reads.push_back(store->call);
        }
        return reads;
    }

    static std::size_t answersIn(const Effects& effects)
    {
        return static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(),
            [](const Effect& effect) { return std::holds_alternative<AnswerEffect>(effect); }));
    }

    CallerPart m_part { NodeSettings() };
};

// Guards against the records of many large jobs that are read, and decoded, at the same time.
TEST_F(CallerPartTest, KeepsFewReadsOpenAndAnswersTheOthersInTurn)
{
    constexpr CallerId callers = 30;
    std::vector<CallId> open;
    for (CallerId caller = 1; caller <= callers; ++caller) {
        for (const CallId read : readsIn(query(caller)))
            open.push_back(read);
    }
    ASSERT_LT(open.size(), 10U);
    const std::size_t most = open.size();
    std::size_t answered = 0;
    while (!open.empty()) {
        StoreReply reply;
        reply.records = { { { Collection::Progress, "00000000000000a1" }, 1, ProgressRecord() } };
        const Effects effects = m_part.handle(StoreEvent { open.back(), reply }, start);
        open.pop_back();
        answered += answersIn(effects);
        for (const CallId read : readsIn(effects))
            open.push_back(read);
        EXPECT_LE(open.size(), most);
    }
    EXPECT_EQ(answered, callers);
}

// Guards against callers without an answer while the store is silent.
TEST_F(CallerPartTest, RefusesWhatWaitsForAReadAtItsDeadline)
{
    constexpr CallerId callers = 30;
    std::size_t begun = 0;
    for (CallerId caller = 1; caller <= callers; ++caller)
        begun += readsIn(query(caller)).size();
    const Effects effects = m_part.handle(WakeEvent(), start + absl::Seconds(3));
    EXPECT_EQ(answersIn(effects), callers - begun);
}

// Guards against log lines as long as callers like.
TEST_F(CallerPartTest, CutsWhatIsNoJobIdInTheLog)
{
    for (const char* prefix : { "/batch/", "/unknown/" }) {
        for (const Effect& effect : query(1, prefix + std::string(2000, 'a'))) {
            if (const auto* decision = std::get_if<DecisionEffect>(&effect)) {
                EXPECT_EQ(decision->outcome, "notFound");
                EXPECT_LE(decision->job.size(), 64U);
            }
        }
    }
}

} // namespace
} // namespace mangohall::batch
