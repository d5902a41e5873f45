#include "adapters/observe/log_func.h"

#include <memory>
#include <vector>

#include "log4cxx/consoleappender.h"
#include "log4cxx/fileappender.h"
#include "log4cxx/jsonlayout.h"
#include "log4cxx/logger.h"
#include "log4cxx/mdc.h"

namespace mangohall {

namespace {

log4cxx::AppenderPtr makeAppender(const log4cxx::LayoutPtr& layout, const std::string& filePath)
{
    if (!filePath.empty())
        return std::make_shared<log4cxx::FileAppender>(layout, filePath, true);
    return std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
}

log4cxx::LevelPtr levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

// Adds fields to the log lines of the calling thread until this object is destroyed.
class ScopedFields {
public:
    explicit ScopedFields(const LogFields& fields)
    {
        put("request", fields.request);
        put("job", fields.job);
        put("organisation", fields.organisation);
        put("shard", fields.shard);
        if (fields.epoch != 0)
            put("epoch", std::to_string(fields.epoch));
    }

private:
    void put(const char* name, const std::string& value)
    {
        if (!value.empty())
            m_fields.push_back(std::make_unique<log4cxx::MDC>(name, value));
    }

    std::vector<std::unique_ptr<log4cxx::MDC>> m_fields;
};

} // namespace

void setUpLogging(absl::string_view level, const std::string& filePath)
{
    const log4cxx::LoggerPtr root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(std::make_shared<log4cxx::JSONLayout>(), filePath));
    root->setLevel(log4cxx::Level::toLevel(std::string(level)));
}

void logLine(LogLevel level, absl::string_view message, const LogFields& fields)
{
    const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
    const log4cxx::LevelPtr loggerLevel = levelOf(level);
    if (!logger->isEnabledFor(loggerLevel))
        return;
    const ScopedFields scoped(fields);
    logger->forcedLog(loggerLevel, std::string(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace mangohall
