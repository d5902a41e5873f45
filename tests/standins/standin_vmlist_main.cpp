// The stand-in for the platform's VM list.
#include <fstream>
#include <iostream>
#include <sstream>

#include "programs/server/stop_signal_func.h"
#include "standins/building_json_func.h"
#include "standins/faulty_handler_base.h"
#include "standins/real_clock_base.h"
#include "standins/standin_main_func.h"
#include "standins/vm_list_service_base.h"

namespace {

constexpr const char* programName = "standin-vmlist";
constexpr int exitUsage = 2;

int serve(const mangohall::StandinOptions& options, const std::string& buildingFile)
{
    std::ifstream file(buildingFile);
    std::ostringstream text;
    text << file.rdbuf();
    const absl::StatusOr<std::vector<mangohall::VmEntry>> vms = mangohall::buildingFromJson(text.str());
    if (!file || !vms.ok()) {
        std::cerr << programName << ": " << buildingFile << ": "
                  << (file ? vms.status().message() : absl::string_view("cannot be read")) << '\n';
        return exitUsage;
    }
    const mangohall::RealClock clock;
    mangohall::FaultSwitches switches;
    mangohall::VmListService service(clock, switches, *vms);
    mangohall::FaultyHandler handler(service, switches);
    mangohall::HttpServer server(handler);
    return mangohall::serveUntilTerminated(server, programName, options);
}

} // namespace

int main(int argc, char** argv)
{
    mangohall::blockSignals(mangohall::stopSignals());
    std::string buildingFile;
    boost::program_options::options_description programOptions;
    programOptions.add_options()("building", boost::program_options::value(&buildingFile), "the building file, JSON");
    mangohall::StandinOptions options;
    boost::program_options::variables_map values;
    int exitCode = 0;
    if (!mangohall::readCommandLine(argc, argv, programName, programOptions, options, values, exitCode))
        return exitCode;
    if (buildingFile.empty()) {
        std::cerr << programName << ": --building is missing\n";
        return exitUsage;
    }
    return serve(options, buildingFile);
}
