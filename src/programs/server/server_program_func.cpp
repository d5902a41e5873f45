#include "programs/server/server_program_func.h"

#include <iostream>

#include "absl/strings/str_cat.h"
#include "adapters/observe/log_func.h"
#include "adapters/settings/settings_func.h"
#include "programs/server/server_arguments_func.h"
#include "programs/server/standard_descriptor_func.h"
#include "programs/server/stop_signal_func.h"

namespace mangohall {

namespace {

constexpr int exitSuccess = 0;
constexpr int exitStartFailed = 1;
constexpr int exitInvalidInput = 2;

int serve(const Settings& settings, const ServerProgram& program)
{
    setUpLogging(settings.log.level, settings.log.filePath);
    const std::unique_ptr<ServerProcess> process = program.makeProcess(settings);
    const absl::Status status = process->start();
    if (!status.ok()) {
        logLine(LogLevel::Error, absl::StrCat("could not start: ", status.message()));
        process->stop();
        return exitStartFailed;
    }
    logLine(LogLevel::Info, absl::StrCat(settings.self.node.text(), " started"));
    waitForStopSignal();
    logLine(LogLevel::Info, "draining");
    if (!process->drain(settings.drainTimeout))
        logLine(LogLevel::Warn, "drain timed out; stopping before all work was handed over");
    process->stop();
    logLine(LogLevel::Info, "stopped");
    return exitSuccess;
}

} // namespace

int runServerProgram(absl::Span<const char* const> arguments, const ServerProgram& program)
{
    reserveStandardDescriptors();
    // A signal that arrives before the program waits for it stops the program gracefully.
    blockSignals(stopSignals());
    const ServerArguments line = parseServerArguments(arguments, program.name);
    if (line.action == CommandAction::ShowText) {
        std::cout << line.text;
        return exitSuccess;
    }
    if (line.action == CommandAction::ShowError) {
        std::cerr << line.text;
        return exitInvalidInput;
    }
    const SettingsResult result = readSettingsFile(line.settingsPath, program.role);
    if (!result.faults.empty()) {
        std::cerr << describeFaults(result.faults);
        return exitInvalidInput;
    }
    if (line.action == CommandAction::CheckSettings) {
        std::cout << "The settings of " << result.settings.self.node.text() << " are valid.\n";
        return exitSuccess;
    }
    return serve(result.settings, program);
}

} // namespace mangohall
