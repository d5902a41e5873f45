#include "standins/standin_main_func.h"

#include <iostream>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"
#include "programs/server/stop_signal_func.h"

namespace mangohall {

namespace {

namespace options = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;

log4cxx::LoggerPtr logger(absl::string_view program)
{
    static const bool isConfigured = [] {
        const auto layout = std::make_shared<log4cxx::JSONLayout>();
        log4cxx::BasicConfigurator::configure(
            std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr()));
        return true;
    }();
    static_cast<void>(isConfigured);
    return log4cxx::Logger::getLogger(std::string(program));
}

options::options_description describe(StandinOptions& target)
{
    options::options_description common("Options");
    auto add = common.add_options();
    add("help", "print this help and exit");
    add("version", "print the version and exit");
    add("address", options::value(&target.address)->default_value(target.address), "IP address to listen on");
    add("port", options::value(&target.port)->default_value(target.port),
        "port to listen on; 0 picks a free one, printed as {\"port\": N}");
    return common;
}

} // namespace

bool readCommandLine(int argc, const char* const* argv, absl::string_view program,
    const options::options_description& programOptions, StandinOptions& options, options::variables_map& values,
    int& exitCode)
{
    options::options_description all = describe(options);
    all.add(programOptions);
    exitCode = 0;
    try {
        options::store(options::parse_command_line(argc, argv, all), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << program << ": " << error.what() << '\n';
        exitCode = exitUsage;
        return false;
    }
    if (values.count("help") != 0) {
        std::cout << "Usage: " << program << " [options]\n" << all;
        return false;
    }
    if (values.count("version") != 0) {
        std::cout << program << ' ' << MANGOHALL_VERSION << '\n';
        return false;
    }
    return true;
}

void logLine(absl::string_view program, absl::string_view message)
{
    LOG4CXX_INFO(logger(program), std::string(message));
}

int serveUntilTerminated(HttpServer& server, absl::string_view program, const StandinOptions& options)
{
    const absl::Status status = server.start(options.address, options.port);
    if (!status.ok()) {
        std::cerr << program << ": " << status.message() << '\n';
        return exitFailure;
    }
    std::cout << nlohmann::json({ { "port", server.port() } }).dump() << std::endl;
    logLine(program, absl::StrCat("listening on ", options.address, ":", server.port()));
    const int signal = waitForStopSignal();
    logLine(program, absl::StrCat("stopping on signal ", signal));
    server.stop();
    return 0;
}

} // namespace mangohall
