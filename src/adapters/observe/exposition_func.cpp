#include "adapters/observe/exposition_func.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

constexpr absl::string_view countName = "mangohall_observations_total";
constexpr absl::string_view latencyName = "mangohall_took_seconds";

// The text as a quoted and escaped label value.
std::string quoted(absl::string_view value)
{
    return absl::StrCat(
        "\"", absl::StrReplaceAll(value, { { "\\", "\\\\" }, { "\"", "\\\"" }, { "\n", "\\n" } }), "\"");
}

std::string labelsOf(const SeriesKey& key)
{
    return absl::StrCat("kind=", quoted(observationName(key.kind)), ",organisation=", quoted(key.organisation.text()),
        ",service=", quoted(key.service.text()));
}

void appendHeader(std::string& text, absl::string_view name, absl::string_view help, absl::string_view type)
{
    absl::StrAppend(&text, "# HELP ", name, " ", help, "\n# TYPE ", name, " ", type, "\n");
}

void appendCounts(std::string& text, const SeriesKey& key, const LatencySeries& series)
{
    for (const auto& [outcome, count] : series.outcomes()) {
        absl::StrAppend(&text, countName, "{", labelsOf(key), ",outcome=", quoted(errorName(outcome)), "} ", count);
        absl::StrAppend(&text, "\n");
    }
}

void appendLatencies(std::string& text, const SeriesKey& key, const LatencySeries& series)
{
    const LatencyHistogram& seconds = series.seconds();
    const LatencyAxis& axis = seconds.axis();
    const std::string labels = labelsOf(key);
    // Values below the first bin are counted in every bucket.
    std::uint64_t cumulativeCount = seconds.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        cumulativeCount += seconds.at(bin);
        absl::StrAppend(
            &text, latencyName, "_bucket{", labels, ",le=\"", axis.value(bin + 1), "\"} ", cumulativeCount, "\n");
    }
    cumulativeCount += seconds.at(axis.size());
    absl::StrAppend(&text, latencyName, "_bucket{", labels, ",le=\"+Inf\"} ", cumulativeCount, "\n");
    absl::StrAppend(&text, latencyName, "_sum{", labels, "} ", series.totalSeconds(), "\n");
    absl::StrAppend(&text, latencyName, "_count{", labels, "} ", cumulativeCount, "\n");
}

} // namespace

std::string expositionText(const MetricsSnapshot& snapshot, absl::Span<const GaugeReading> gauges)
{
    std::string text;
    appendHeader(text, countName, "Observations by kind and outcome.", "counter");
    for (const auto& [key, series] : snapshot.latencies)
        appendCounts(text, key, series);
    appendHeader(text, latencyName, "How long what was observed took.", "histogram");
    for (const auto& [key, series] : snapshot.latencies)
        appendLatencies(text, key, series);
    for (const GaugeReading& gauge : gauges) {
        appendHeader(text, gauge.name, gauge.help, "gauge");
        absl::StrAppend(&text, gauge.name, " ", gauge.value, "\n");
    }
    return text;
}

absl::string_view observationName(ObservationEffect::Kind kind)
{
    switch (kind) {
    case ObservationEffect::Kind::JobEnded:
        return "jobEnded";
    case ObservationEffect::Kind::UrgentStart:
        return "urgentStart";
    case ObservationEffect::Kind::Reclaim:
        return "reclaim";
    case ObservationEffect::Kind::ConfigInForce:
        return "configInForce";
    case ObservationEffect::Kind::ShardClaimed:
        return "shardClaimed";
    case ObservationEffect::Kind::ShardLost:
        return "shardLost";
    case ObservationEffect::Kind::GuaranteeShortfall:
        return "guaranteeShortfall";
    case ObservationEffect::Kind::WorkerQuarantined:
        break;
    }
    return "workerQuarantined";
}

} // namespace mangohall
