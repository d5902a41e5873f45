#include "adapters/api/limit_logger_base.h"

#include "absl/strings/str_cat.h"
#include "adapters/observe/log_func.h"

namespace mangohall {

namespace {

absl::string_view messageOf(ClientLimit limit)
{
    switch (limit) {
    case ClientLimit::BodyTooLarge:
        return "request body over the size limit";
    case ClientLimit::BodyRefused:
        return "request body refused: the budget for unfinished bodies is used up";
    case ClientLimit::BodyAbandoned:
        return "request body abandoned: not complete within the time limit";
    case ClientLimit::BodyEvicted:
        return "request body evicted: the budget for unfinished bodies is used up";
    case ClientLimit::ConnectionRefused:
        return "request refused: too many connections";
    case ClientLimit::ConnectionDisplaced:
        return "connection without a complete request closed: too many connections";
    }
    return "";
}

} // namespace

LimitLogger::LimitLogger(const Clock& clock)
    : m_counts(clock)
{
}

void LimitLogger::onLimit(ClientLimit limit)
{
    if (m_counts.add(limit))
        logLine(LogLevel::Warn, absl::StrCat(messageOf(limit), "; ", m_counts.count(limit), " since the start"));
}

void LimitLogger::onConnectionDisplaced(std::uint64_t /*total*/)
{
    onLimit(ClientLimit::ConnectionDisplaced);
}

} // namespace mangohall
