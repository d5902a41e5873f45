#include "adapters/observe/metrics_base.h"

#include <thread>

#include "adapters/observe/burn_func.h"
#include "fakes/manual_clock_base.h"
#include "gtest/gtest.h"

namespace mangohall {
namespace {

using Kind = ObservationEffect::Kind;

ObservationEffect observation(Kind kind, absl::Duration took)
{
    ObservationEffect effect;
    effect.kind = kind;
    effect.organisation = OrganisationName("zagara");
    effect.service = ServiceName("regdesk");
    effect.duration = took;
    return effect;
}

void observeTimes(Metrics& metrics, const ObservationEffect& effect, int times)
{
    for (int i = 0; i < times; ++i)
        metrics.observe(effect);
}

TEST(Metrics, ShowsCountersHistogramsAndGauges)
{
    ManualClock clock;
    Metrics metrics(clock);
    ObservationEffect failed = observation(Kind::JobEnded, absl::Seconds(2));
    failed.outcome = ErrorKind::TaskFailed;
    failed.organisation = OrganisationName("a\"b");
    metrics.observe(failed);
    observeTimes(metrics, observation(Kind::JobEnded, absl::Milliseconds(500)), 3);
    metrics.addGauge({ "mangohall_queued_events", "Events that wait.", [] { return 4.0; } });
    const std::string text = metrics.metricsText();
    for (const char* line : { "outcome=\"taskFailed\"} 1\n", "organisation=\"a\\\"b\"", "outcome=\"none\"} 3\n",
             "mangohall_took_seconds_sum{kind=\"jobEnded\",organisation=\"zagara\",service=\"regdesk\"} 1.5\n",
             "le=\"+Inf\"} 3\n", "# TYPE mangohall_queued_events gauge\nmangohall_queued_events 4\n" })
        EXPECT_NE(text.find(line), std::string::npos) << line;
}

TEST(Metrics, CountsObservationsBeyondTheBoundAsMissed)
{
    ManualClock clock;
    Metrics metrics(clock);
    observeTimes(metrics, observation(Kind::UrgentStart, absl::Milliseconds(5500)), 98);
    observeTimes(metrics, observation(Kind::UrgentStart, absl::Milliseconds(5501)), 2);
    const nlohmann::json row = metrics.burnReport().at("objectives").at(0);
    EXPECT_EQ(row.at("objective"), "urgentStart");
    EXPECT_EQ(row.at("events"), 100);
    EXPECT_EQ(row.at("missed"), 2);
    EXPECT_NEAR(row.at("windows").at(0).at("shortRate").get<double>(), 20, 1e-9);
    EXPECT_TRUE(row.at("windows").at(0).at("isBurning").get<bool>());
    EXPECT_NEAR(row.at("budgetLeft").get<double>(), -19, 1e-9);
}

TEST(Metrics, StopsBurningOnceTheShortWindowHasNoMisses)
{
    ManualClock clock;
    Metrics metrics(clock);
    ObservationEffect late = observation(Kind::JobEnded, absl::Seconds(1));
    late.isWithinObjective = false;
    metrics.observe(late);
    clock.advance(absl::Minutes(10));
    metrics.observe(observation(Kind::JobEnded, absl::Seconds(1)));
    const std::vector<BurnRow> rows = burnRows(metrics.snapshot());
    EXPECT_EQ(rows.at(0).windows.at(0).shortRate, 0);
    EXPECT_GT(rows.at(0).windows.at(0).longRate, 14.4);
    EXPECT_FALSE(rows.at(0).windows.at(0).isBurning);
    EXPECT_TRUE(rows.at(0).windows.at(1).isBurning);
    clock.advance(absl::Hours(31 * 24));
    EXPECT_EQ(burnRows(metrics.snapshot()).at(0).budgetLeft, 1);
}

TEST(Metrics, MergesTheSeriesOfOtherNodes)
{
    ManualClock clock;
    Metrics entry(clock);
    Metrics scheduler(clock);
    observeTimes(entry, observation(Kind::Reclaim, absl::Seconds(1)), 2);
    observeTimes(scheduler, observation(Kind::Reclaim, absl::Seconds(6)), 3);
    entry.merge(scheduler.snapshot());
    const nlohmann::json row = entry.burnReport().at("objectives").at(0);
    EXPECT_EQ(row.at("events"), 5);
    EXPECT_EQ(row.at("missed"), 3);
    EXPECT_NE(entry.metricsText().find("le=\"+Inf\"} 5\n"), std::string::npos);
}

TEST(Metrics, CountsFromSeveralThreads)
{
    ManualClock clock;
    Metrics metrics(clock);
    constexpr int perThread = 500;
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i)
        threads.emplace_back([&] { observeTimes(metrics, observation(Kind::Reclaim, absl::Seconds(1)), perThread); });
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(metrics.burnReport().at("objectives").at(0).at("events"), 4 * perThread);
}

TEST(Metrics, LimitsTheNumberOfSeries)
{
    ManualClock clock;
    Metrics metrics(clock);
    for (int i = 0; i < 20000; ++i) {
        ObservationEffect effect = observation(Kind::ShardLost, absl::Seconds(1));
        effect.organisation = OrganisationName(std::to_string(i));
        metrics.observe(effect);
    }
    EXPECT_LE(metrics.snapshot().latencies.size(), 10000U);
    EXPECT_NE(metrics.metricsText().find("organisation=\"other\""), std::string::npos);
}

TEST(BurnPage, IsSelfContainedAndEscapesNames)
{
    ManualClock clock;
    Metrics metrics(clock);
    ObservationEffect effect = observation(Kind::ConfigInForce, absl::Seconds(1));
    effect.organisation = OrganisationName("<script>");
    metrics.observe(effect);
    const std::string page = metrics.burnPage();
    EXPECT_NE(page.find("<svg"), std::string::npos);
    EXPECT_NE(page.find("&lt;script&gt;"), std::string::npos);
    EXPECT_EQ(page.find("<script"), std::string::npos);
    EXPECT_EQ(page.find("http"), std::string::npos);
}

} // namespace
} // namespace mangohall
