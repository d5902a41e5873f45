#include "adapters/observe/log_observer_base.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "adapters/observe/exposition_func.h"
#include "adapters/observe/log_func.h"
#include "core/error_func.h"

namespace mangohall {

namespace {

using Kind = ObservationEffect::Kind;

// Observations on which an operator may have to act are logged as warnings.
LogLevel levelOf(const ObservationEffect& observation)
{
    const bool isFailure = observation.kind == Kind::ShardLost || observation.kind == Kind::GuaranteeShortfall
        || observation.kind == Kind::WorkerQuarantined;
    return isFailure || !observation.isWithinObjective ? LogLevel::Warn : LogLevel::Info;
}

// Whether the subject of the observation is a job.
bool isAboutJob(Kind kind)
{
    return kind == Kind::JobEnded || kind == Kind::UrgentStart || kind == Kind::Reclaim;
}

std::string messageOf(const ObservationEffect& observation)
{
    std::string message = absl::StrCat(observationName(observation.kind), " ", observation.subject, " took ",
        absl::FormatDuration(observation.duration));
    if (observation.outcome != ErrorKind::None)
        absl::StrAppend(&message, " outcome ", errorName(observation.outcome));
    return message;
}

} // namespace

LogObserver::LogObserver(ObserverPort& next)
    : m_next(next)
{
}

void LogObserver::observe(const ObservationEffect& observation)
{
    LogFields fields;
    fields.organisation = observation.organisation.str();
    fields.shard = observation.shard.str();
    fields.epoch = observation.epoch;
    if (isAboutJob(observation.kind))
        fields.job = observation.subject;
    logLine(levelOf(observation), messageOf(observation), fields);
    m_next.observe(observation);
}

} // namespace mangohall
