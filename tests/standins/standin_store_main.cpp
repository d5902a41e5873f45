// The stand-in for the platform's store.
#include "programs/server/stop_signal_func.h"
#include "standins/faulty_handler_base.h"
#include "standins/real_clock_base.h"
#include "standins/standin_main_func.h"
#include "standins/store_service_base.h"

namespace {

constexpr const char* programName = "standin-store";
constexpr std::size_t defaultHistoryLimit = 100'000;

int serve(const mangohall::StandinOptions& options, std::size_t historyLimit)
{
    const mangohall::RealClock clock;
    mangohall::FaultSwitches switches;
    mangohall::StoreService service(clock, switches, historyLimit);
    mangohall::FaultyHandler handler(service, switches);
    mangohall::HttpServer server(handler);
    return mangohall::serveUntilTerminated(server, programName, options);
}

} // namespace

int main(int argc, char** argv)
{
    mangohall::blockSignals(mangohall::stopSignals());
    std::size_t historyLimit = defaultHistoryLimit;
    boost::program_options::options_description programOptions;
    programOptions.add_options()("history", boost::program_options::value(&historyLimit)->default_value(historyLimit),
        "changes that are kept for watches; older ones are compacted away");
    mangohall::StandinOptions options;
    boost::program_options::variables_map values;
    int exitCode = 0;
    if (!mangohall::readCommandLine(argc, argv, programName, programOptions, options, values, exitCode))
        return exitCode;
    return serve(options, historyLimit);
}
